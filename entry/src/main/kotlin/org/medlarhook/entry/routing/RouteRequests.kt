package org.medlarhook.entry.routing

import com.google.common.hash.Hashing
import org.medlarhook.core.routing.ModelRef
import org.medlarhook.core.routing.RouteRequest
import org.medlarhook.core.routing.WorkTokens
import org.medlarhook.entry.call.GenerationJob
import org.medlarhook.entry.call.RequestInfo
import org.medlarhook.entry.call.ServiceJob

/** Describes requests to the routing policy. */
internal object RouteRequests {
    private const val PREFIX_CHARS = 4_096
    private const val SHARED_SHARE = 0.5
    private val hash = Hashing.murmur3_128()

    /** A generation. Prompts are shared within a workspace only. */
    fun of(job: GenerationJob, info: RequestInfo, excluded: Set<String>): RouteRequest {
        val isLong = job.prompt.length >= PREFIX_CHARS
        return RouteRequest(
            model = ModelRef(job.model),
            work = work(job),
            prefixHash = if (isLong) prefixHash(job) else null,
            prefixTokens = if (isLong) (job.promptTokens * SHARED_SHARE).toLong() else 0,
            bodyBytes = job.prompt.length.toLong(),
            deadlineMs = info.deadlineAtMs,
            excluded = excluded,
        )
    }

    /** A call of a plain service. */
    fun of(job: ServiceJob, info: RequestInfo, excluded: Set<String>): RouteRequest =
        RouteRequest(
            model = ModelRef(job.service),
            work = WorkTokens.NONE,
            bodyBytes = job.body.size().toLong(),
            deadlineMs = info.deadlineAtMs,
            excluded = excluded,
        )

    /** The work of a generation with nothing in a cache. */
    fun work(job: GenerationJob): WorkTokens = WorkTokens(job.promptTokens.toLong(), job.maxOutputTokens.toLong())

    private fun prefixHash(job: GenerationJob): Long =
        hash
            .newHasher()
            .putUnencodedChars(job.workspace.name)
            .putUnencodedChars(job.prompt.substring(0, PREFIX_CHARS))
            .hash()
            .asLong()
}

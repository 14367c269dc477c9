package org.medlarhook.entry.routing

import com.google.common.hash.Hashing
import org.medlarhook.core.routing.ModelRef
import org.medlarhook.core.routing.RouteRequest
import org.medlarhook.core.routing.WorkTokens
import org.medlarhook.entry.call.GenerationJob
import org.medlarhook.entry.call.RequestInfo
import org.medlarhook.entry.call.ServiceJob

/** Converts requests to the form in which the routing policy takes them. */
internal object RouteRequests {
    private const val PREFIX_CHARS = 4_096
    private const val ASSUMED_PREFIX_SHARE = 0.5
    private val hash = Hashing.murmur3_128()

    /**
     * Returns the route request of a generation. Prompts of [PREFIX_CHARS] or more characters have a hash of the
     * workspace and the start of the prompt, because cached prefixes are shared within a workspace only. Of such a
     * prompt, [ASSUMED_PREFIX_SHARE] is assumed to be a shared prefix.
     */
    fun of(job: GenerationJob, info: RequestInfo, excluded: Set<String>): RouteRequest {
        val isLong = job.prompt.length >= PREFIX_CHARS
        return RouteRequest(
            model = ModelRef(job.model),
            work = work(job),
            prefixHash = if (isLong) prefixHash(job) else null,
            prefixTokens = if (isLong) (job.promptTokens * ASSUMED_PREFIX_SHARE).toLong() else 0,
            bodyBytes = job.prompt.length.toLong(),
            deadlineMs = info.deadlineAtMs,
            excluded = excluded,
        )
    }

    /** Returns the route request of a call of a plain service. */
    fun of(job: ServiceJob, info: RequestInfo, excluded: Set<String>): RouteRequest =
        RouteRequest(
            model = ModelRef(job.service),
            work = WorkTokens.NONE,
            bodyBytes = job.body.size().toLong(),
            deadlineMs = info.deadlineAtMs,
            excluded = excluded,
        )

    /** Returns the work of a generation if none of its prompt is cached. */
    fun work(job: GenerationJob): WorkTokens = WorkTokens(job.promptTokens.toLong(), job.maxOutputTokens.toLong())

    private fun prefixHash(job: GenerationJob): Long =
        hash
            .newHasher()
            .putUnencodedChars(job.workspace.name)
            .putUnencodedChars(job.prompt.substring(0, PREFIX_CHARS))
            .hash()
            .asLong()
}

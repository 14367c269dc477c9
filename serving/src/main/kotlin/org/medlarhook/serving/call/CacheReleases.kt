package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.serving.upstream.RequestPermits

/** Frees caches that engines keep for requests that no longer need them. */
internal class CacheReleases(
    private val serving: ServingLoop,
) {
    /** Frees the cache that [upstream] keeps under [cacheHandle], or lets it expire if that takes no request now. */
    fun release(upstream: Upstream, cacheHandle: String) {
        val permits = RequestPermits(serving.availability)
        if (!permits.claim(upstream)) return
        val request = serving.format.cacheReleaseRequest(upstream, cacheHandle)
        val release = serving.pool.send(upstream, null, request, mayRunAgain = true, permits, NoOpAttemptListener())
        serving.schedule(serving.nowMs() + TIMEOUT_MS) { release.abandon() }
    }

    private companion object {
        /** The answer to a release is not needed; it is awaited so that its connection can be used again. */
        const val TIMEOUT_MS = 2_000L
    }
}

package org.medlarhook.serving.peer

import kotlinx.serialization.Serializable

/** The other serving processes, as far as they are told of upstreams that limit their requests. */
internal fun interface LimitPeers {
    /** Tells all of them [report]. */
    fun tell(report: LimitReport)
}

/**
 * What an upstream has said about its limit.
 *
 * @property perS requests a second that it takes from all processes, or null if it does not limit them any more.
 * @property asOfMs when it was so, on the clock on which all processes agree.
 */
@Serializable
internal data class LimitReport(
    val upstreamId: String,
    val startedAtMs: Long,
    val perS: Double?,
    val asOfMs: Long,
) {
    init {
        require(perS == null || perS in 0.0..MAX_PER_S) {
            "the limit is $perS requests a second, expected 0 to $MAX_PER_S"
        }
        require(asOfMs in -MAX_MS..MAX_MS) { "the time of the limit is $asOfMs ms, expected at most $MAX_MS" }
    }

    private companion object {
        const val MAX_PER_S = 1e9
        const val MAX_MS = 1L shl 53
    }
}

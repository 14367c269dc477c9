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
)

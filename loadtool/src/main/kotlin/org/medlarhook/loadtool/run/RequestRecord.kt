package org.medlarhook.loadtool.run

import org.medlarhook.loadtool.policy.SimulatedRequest

/**
 * A request and its answer. Times in the answer are measured from the scheduled send time, so that a late send counts
 * as latency.
 *
 * @property atMs scheduled send time since the start of the run.
 * @property status HTTP status; 0 if the connection failed.
 * @property complete the answer was successful and not cut off.
 * @property firstByteMs time to the first token, or to the body of an answer that is not streamed.
 * @property retryAfterMs delay given by `Retry-After`; null if the answer has none.
 * @property notRun the body of the answer says that the request was not run.
 */
internal data class RequestRecord(
    val atMs: Double,
    val workspace: String,
    val streamed: Boolean,
    val deadlineMs: Double,
    val status: Int,
    val complete: Boolean,
    val firstByteMs: Double?,
    val tokenGapsMs: List<Double>,
    val endMs: Double,
    val retryAfterMs: Long?,
    val notRun: Boolean,
) {
    /** True if the entry refused the request by its status. */
    val refused: Boolean get() = status == HTTP_UNAVAILABLE || status == HTTP_TOO_MANY_REQUESTS

    /**
     * True if the answer was complete by the deadline, and a streamed answer met the limits on the time to first token
     * and on the gaps between tokens.
     */
    val good: Boolean get() = complete && endMs <= deadlineMs && (!streamed || meetsStreamingLimits())

    private fun meetsStreamingLimits(): Boolean {
        val firstTokenMs = firstByteMs ?: return false
        val longGaps = tokenGapsMs.count { it > SimulatedRequest.TOKEN_GAP_LIMIT_MS }
        return firstTokenMs <= SimulatedRequest.FIRST_TOKEN_LIMIT_MS &&
            longGaps <= tokenGapsMs.size * SimulatedRequest.MAX_LONG_GAP_SHARE
    }

    private companion object {
        const val HTTP_UNAVAILABLE = 503
        const val HTTP_TOO_MANY_REQUESTS = 429
    }
}

package org.medlarhook.loadtool.run

import org.medlarhook.loadtool.policy.Job

/** What became of a request. Times count from the time at which it should have been sent. */
internal data class RequestRecord(
    val atMs: Double,
    val workspace: String,
    val streamed: Boolean,
    val deadlineMs: Double,
    val status: Int,
    val whole: Boolean,
    val firstByteMs: Double?,
    val gapsMs: List<Double>,
    val endMs: Double,
    val retryAfterMs: Long?,
    val notRun: Boolean,
) {
    /** True if the entry refused it before it was run. */
    val refused: Boolean get() = status == HTTP_UNAVAILABLE || status == HTTP_TOO_MANY

    /** True if the whole answer came in time, and a streamed one with its first token and gaps within limits. */
    val good: Boolean get() = whole && endMs <= deadlineMs && (!streamed || isSteady())

    private fun isSteady(): Boolean {
        val firstMs = firstByteMs ?: return false
        val long = gapsMs.count { it > Job.TOKEN_GAP_MS }
        return firstMs <= Job.FIRST_TOKEN_MS && long <= gapsMs.size * Job.LONG_GAPS_SHARE
    }

    private companion object {
        const val HTTP_UNAVAILABLE = 503
        const val HTTP_TOO_MANY = 429
    }
}

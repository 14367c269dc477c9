package org.medlarhook.loadtool.policy

import org.medlarhook.core.routing.WorkTokens

/** How a request ended; [GOOD] and [LATE] requests were completed. */
internal enum class Outcome {
    GOOD,
    LATE,
    REFUSED,
    FAILED,
}

/**
 * A simulated request and what has happened to it.
 *
 * @property entryIndex entry that routes the request.
 * @property prefixHash identifies the prompt prefix that the request shares with others.
 * @property excluded engines that refused or failed an earlier attempt.
 * @property longGaps gaps between tokens above [TOKEN_GAP_LIMIT_MS].
 * @property outcome null until the request has ended.
 */
internal class SimulatedRequest(
    val workspaceIndex: Int,
    val kind: KindSpec,
    val entryIndex: Int,
    val arrivedAtMs: Double,
    val prefixHash: Long,
) {
    val deadlineMs: Double = arrivedAtMs + kind.deadlineMs
    val firstTokenDeadlineMs: Double = if (kind.streamed) arrivedAtMs + FIRST_TOKEN_LIMIT_MS else deadlineMs
    val work: WorkTokens = WorkTokens(kind.promptTokens, kind.outputTokens.toLong())
    val excluded: MutableSet<String> = mutableSetOf()
    var attempts: Int = 0
    var firstTokenMs: Double? = null
    var lastTokenMs: Double = 0.0
    var longGaps: Int = 0
    var tokens: Int = 0
    var outcome: Outcome? = null

    /** Records an output token at [atMs]. */
    fun onToken(atMs: Double) {
        if (firstTokenMs == null) firstTokenMs = atMs
        if (tokens > 0 && atMs - lastTokenMs > TOKEN_GAP_LIMIT_MS) longGaps++
        tokens++
        lastTokenMs = atMs
    }

    /**
     * True if the answer was complete by the deadline. A streamed answer also needs its first token in
     * [FIRST_TOKEN_LIMIT_MS], and at most [MAX_LONG_GAP_SHARE] of its gaps may exceed [TOKEN_GAP_LIMIT_MS].
     */
    fun isInTime(): Boolean {
        val firstTokenAtMs = firstTokenMs ?: return false
        val gapsWithinLimit = !kind.streamed || longGaps <= tokens * MAX_LONG_GAP_SHARE
        return lastTokenMs <= deadlineMs && firstTokenAtMs <= firstTokenDeadlineMs && gapsWithinLimit
    }

    companion object {
        const val FIRST_TOKEN_LIMIT_MS = 1_400.0
        const val TOKEN_GAP_LIMIT_MS = 57.0
        const val MAX_LONG_GAP_SHARE = 0.05
    }
}

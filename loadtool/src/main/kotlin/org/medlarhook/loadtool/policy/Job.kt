package org.medlarhook.loadtool.policy

import org.medlarhook.core.routing.WorkTokens

/** How a request ended. */
internal enum class Outcome {
    GOOD,
    LATE,
    REFUSED,
    FAILED,
}

/** One request on its way. */
internal class Job(
    val workspace: Int,
    val kind: KindSpec,
    val entry: Int,
    val arrivedMs: Double,
    val prefixHash: Long,
) {
    val deadlineMs: Double = arrivedMs + kind.deadlineMs
    val firstTokenDueMs: Double = if (kind.streamed) arrivedMs + FIRST_TOKEN_MS else deadlineMs
    val work: WorkTokens = WorkTokens(kind.promptTokens, kind.outputTokens.toLong())
    val excluded: MutableSet<String> = mutableSetOf()
    var attempts: Int = 0
    var firstTokenMs: Double? = null
    var lastTokenMs: Double = 0.0
    var longGaps: Int = 0
    var tokens: Int = 0
    var outcome: Outcome? = null

    /** Records a token that reaches the caller at [atMs]. */
    fun onToken(atMs: Double) {
        if (firstTokenMs == null) firstTokenMs = atMs
        if (tokens > 0 && atMs - lastTokenMs > TOKEN_GAP_MS) longGaps++
        tokens++
        lastTokenMs = atMs
    }

    /** Tells whether the whole answer came in time; a streamed one also with its first token and gaps within limits. */
    fun isInTime(): Boolean {
        val firstMs = firstTokenMs ?: return false
        val steady = !kind.streamed || longGaps <= tokens * LONG_GAPS_SHARE
        return lastTokenMs <= deadlineMs && firstMs <= firstTokenDueMs && steady
    }

    companion object {
        const val FIRST_TOKEN_MS = 1_400.0
        const val TOKEN_GAP_MS = 57.0
        const val LONG_GAPS_SHARE = 0.05
    }
}

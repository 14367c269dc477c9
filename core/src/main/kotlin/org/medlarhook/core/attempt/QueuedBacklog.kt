package org.medlarhook.core.attempt

/** The queued tokens of each workspace, counted separately for prefill and decode. */
internal class QueuedBacklog {
    private class Share(
        var weight: Int,
        var items: Int = 0,
        var promptTokens: Long = 0,
        var outputTokens: Long = 0,
    )

    private val shareByWorkspace = HashMap<String, Share>()

    val promptTokens: Long get() = shareByWorkspace.values.sumOf { it.promptTokens }
    val outputTokens: Long get() = shareByWorkspace.values.sumOf { it.outputTokens }

    fun add(work: AttemptWork) {
        val share = shareByWorkspace.getOrPut(work.workspace) { Share(work.weight) }
        share.weight = work.weight
        share.items++
        share.promptTokens += work.promptTokens
        share.outputTokens += work.outputTokens
    }

    fun remove(work: AttemptWork) {
        val share = shareByWorkspace.getValue(work.workspace)
        share.items--
        share.promptTokens -= work.promptTokens
        share.outputTokens -= work.outputTokens
        if (share.items == 0) shareByWorkspace.remove(work.workspace)
    }

    /**
     * The time in milliseconds for which a fair queue serves other work before [work]: the whole backlog of its own
     * workspace, and of each other workspace at most the share that its weight gives it in the same time.
     */
    fun aheadMs(work: AttemptWork, speeds: SpeedEstimate, slots: Int): Double {
        val own = shareByWorkspace[work.workspace]
        val ownMs = own?.let { speeds.busyMs(it.promptTokens, it.outputTokens, slots) } ?: 0.0
        val workMs = speeds.busyMs(work.promptTokens, work.outputTokens, slots)
        val fairShareMs = (ownMs + workMs) / work.weight
        return ownMs +
            shareByWorkspace.filterKeys { it != work.workspace }.values.sumOf { share ->
                minOf(speeds.busyMs(share.promptTokens, share.outputTokens, slots), fairShareMs * share.weight)
            }
    }
}

package org.medlarhook.serving.peer

import java.net.InetSocketAddress

/**
 * Processes that have asked this one before it has read their address: a process reads those of the others when it
 * starts, and is read by them one or two usage windows later.
 */
internal class Newcomers {
    private val untilMs = LinkedHashMap<InetSocketAddress, Long>()

    /** Records that [sender] has asked at [nowMs]. */
    fun greeted(sender: InetSocketAddress, nowMs: Long) {
        if (sender !in untilMs && untilMs.size >= MAX_NEWCOMERS) untilMs.remove(untilMs.keys.first())
        untilMs[sender] = nowMs + KEPT_MS
    }

    /** Those that have asked lately. */
    fun at(nowMs: Long): Set<InetSocketAddress> {
        untilMs.values.removeIf { it <= nowMs }
        return untilMs.keys
    }

    private companion object {
        const val MAX_NEWCOMERS = 64

        /** Longer than two usage windows and the start of the reporter. */
        const val KEPT_MS = 30_000L
    }
}

package org.medlarhook.loadtool.policy

import java.util.PriorityQueue

/** Actions in the order of their times. */
internal class Timeline {
    private val queue = PriorityQueue<Entry>(compareBy<Entry> { it.atMs }.thenBy { it.number })
    private var number = 0L

    var nowMs: Double = 0.0
        private set

    /** Runs [action] at [atMs]. */
    fun at(atMs: Double, action: () -> Unit) {
        queue += Entry(maxOf(atMs, nowMs), number++, action)
    }

    /** Runs [action] after [delayMs]. */
    fun after(delayMs: Double, action: () -> Unit) = at(nowMs + delayMs, action)

    /** Runs all actions up to [untilMs]. */
    fun runUntil(untilMs: Double) {
        while (queue.isNotEmpty() && queue.peek().atMs <= untilMs) {
            val entry = queue.poll()
            nowMs = entry.atMs
            entry.action()
        }
    }

    private class Entry(
        val atMs: Double,
        val number: Long,
        val action: () -> Unit,
    )
}

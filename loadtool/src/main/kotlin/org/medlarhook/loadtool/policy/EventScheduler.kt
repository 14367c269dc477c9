package org.medlarhook.loadtool.policy

import java.util.PriorityQueue

/** The clock and event queue of a discrete-event simulation. Events at the same time run in insertion order. */
internal class EventScheduler {
    private val queue = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.insertionOrder })
    private var insertionOrder = 0L

    var nowMs: Double = 0.0
        private set

    /** Schedules [action] at [atMs], or at the current time if [atMs] has passed. */
    fun scheduleAt(atMs: Double, action: () -> Unit) {
        queue += Event(maxOf(atMs, nowMs), insertionOrder++, action)
    }

    /** Schedules [action] in [delayMs]. */
    fun scheduleAfter(delayMs: Double, action: () -> Unit) = scheduleAt(nowMs + delayMs, action)

    /** Runs all events up to and including [untilMs], also those that are scheduled meanwhile. */
    fun runUntil(untilMs: Double) {
        while (queue.isNotEmpty() && queue.peek().atMs <= untilMs) {
            val event = queue.poll()
            nowMs = event.atMs
            event.action()
        }
    }

    private class Event(
        val atMs: Double,
        val insertionOrder: Long,
        val action: () -> Unit,
    )
}

package org.medlarhook.entry.call

/**
 * Handles events one at a time, in the order of their arrival, on the thread that brings them. A thread that finds
 * another one at work leaves its event there. [handle] must not block.
 */
internal class Mailbox<E : Any>(
    private val handle: (E) -> Unit,
) {
    private val lock = Any()
    private val events = ArrayDeque<E>()
    private var isBusy = false

    /** Handles [event] now, or leaves it to the thread that is at work. */
    fun post(event: E) {
        synchronized(lock) {
            events += event
            if (isBusy) return
            isBusy = true
        }
        while (true) {
            val next = next() ?: return
            handle(next)
        }
    }

    private fun next(): E? =
        synchronized(lock) {
            events.removeFirstOrNull().also { if (it == null) isBusy = false }
        }
}

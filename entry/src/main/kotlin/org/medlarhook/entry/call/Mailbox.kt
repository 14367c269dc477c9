package org.medlarhook.entry.call

/**
 * Handles events one at a time, in the order in which they were posted. A thread that posts while no other thread is
 * handling events does so until the queue is empty; other threads only add to the queue. [handle] must not block.
 */
internal class Mailbox<E : Any>(
    private val handle: (E) -> Unit,
) {
    private val lock = Any()
    private val events = ArrayDeque<E>()
    private var isBusy = false

    /** Handles [event] on this thread, or queues it for the thread that is handling events. */
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

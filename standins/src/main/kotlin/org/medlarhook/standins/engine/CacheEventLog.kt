package org.medlarhook.standins.engine

/** Events of the prefix cache, published [delayMs] late and with gaps, as an unreliable feed does. Thread-safe. */
internal class CacheEventLog(
    private val delayMs: Long,
) {
    private val events = ArrayDeque<CacheEvent>()
    private var lastSequence = 0L

    /** Records an event, but drops each [EVENTS_PER_LOSS]th. */
    @Synchronized
    fun record(kind: CacheEvent.Kind, block: Long, nowMs: Long) {
        lastSequence++
        if (lastSequence % EVENTS_PER_LOSS == 0L) return
        events.addLast(CacheEvent(lastSequence, kind, block, nowMs))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    /** Returns the events after [sequence] that are published at [nowMs]. */
    @Synchronized
    fun after(sequence: Long, nowMs: Long): List<CacheEvent> =
        events.filter { it.sequence > sequence && it.atMs + delayMs <= nowMs }

    private companion object {
        const val EVENTS_PER_LOSS = 50L
        const val MAX_EVENTS = 10_000
    }
}

package org.medlarhook.standins.engine

/** Publishes cache events late and with gaps. Thread-safe. */
internal class CacheEvents(
    private val delayMs: Long,
) {
    private val events = ArrayDeque<CacheEvent>()
    private var lastSequence = 0L

    /** Records an event; each [GAP_EVERY]th is lost. */
    @Synchronized
    fun record(kind: CacheEvent.Kind, block: Long, nowMs: Long) {
        lastSequence++
        if (lastSequence % GAP_EVERY == 0L) return
        events.addLast(CacheEvent(lastSequence, kind, block, nowMs))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    /** The published events above [sequence]. */
    @Synchronized
    fun after(sequence: Long, nowMs: Long): List<CacheEvent> =
        events.filter { it.sequence > sequence && it.atMs + delayMs <= nowMs }

    private companion object {
        const val GAP_EVERY = 50L
        const val MAX_EVENTS = 10_000
    }
}

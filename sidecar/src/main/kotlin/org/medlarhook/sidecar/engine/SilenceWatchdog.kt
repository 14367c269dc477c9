package org.medlarhook.sidecar.engine

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/**
 * Ends calls that stay silent. Silence is counted in ticks of this process, so that a pause of the process itself does
 * not count: what arrived meanwhile is read first.
 */
internal class SilenceWatchdog(
    timer: ScheduledExecutorService,
) {
    private val counters = ConcurrentHashMap.newKeySet<SilenceCounter>()

    init {
        timer.scheduleWithFixedDelay({ counters.forEach { it.tick(TICK_MS) } }, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
    }

    /** Watches while [block] runs; [onSilence] is called after [limitMs] without a sign of life. */
    fun <T> during(limitMs: Long, onSilence: () -> Unit, block: (SilenceCounter) -> T): T {
        val counter = SilenceCounter(onSilence, limitMs)
        counters.add(counter)
        try {
            return block(counter)
        } finally {
            counters.remove(counter)
        }
    }

    private companion object {
        const val TICK_MS = 100L
    }
}

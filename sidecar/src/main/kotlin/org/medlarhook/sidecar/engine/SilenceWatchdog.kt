package org.medlarhook.sidecar.engine

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/**
 * Detects engine calls that deliver no token for too long. The time is counted in ticks of this process, so that a
 * pause of the process itself does not count: data that arrived during the pause is read first.
 */
internal class SilenceWatchdog(
    timer: ScheduledExecutorService,
) {
    private val counters = ConcurrentHashMap.newKeySet<SilenceCounter>()

    init {
        timer.scheduleWithFixedDelay({ counters.forEach { it.tick(TICK_MS) } }, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
    }

    /** Runs [block] and calls [onSilence] once the counter exceeds [limitMs]; [block] resets it on each token. */
    fun <T> runWatched(limitMs: Long, onSilence: () -> Unit, block: (SilenceCounter) -> T): T {
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

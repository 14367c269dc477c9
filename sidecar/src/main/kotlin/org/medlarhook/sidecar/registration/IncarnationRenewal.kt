package org.medlarhook.sidecar.registration

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/**
 * Registers the sidecar under a new incarnation before the bounded table of attempts is full, so that a sidecar can run
 * for any length of time.
 *
 * @param usedShare used share of the table of attempts, from 0 to 1.
 * @param register blocks until a new incarnation is registered; null if the process stops first.
 */
internal class IncarnationRenewal(
    private val usedShare: () -> Double,
    private val register: () -> Long?,
    private val onRenewed: (incarnation: Long) -> Unit,
) {
    private val logger = KotlinLogging.logger {}
    private val isRenewing = AtomicBoolean()

    /** Calls [check] at intervals on [timer]. */
    fun start(timer: ScheduledExecutorService) {
        timer.scheduleWithFixedDelay(::check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    /** Starts a renewal in the background if the table is nearly full and no renewal is running. */
    fun check() {
        if (usedShare() < RENEWAL_SHARE || !isRenewing.compareAndSet(false, true)) return
        logger.warnEvent(LogEvent.ATTEMPT_MEMORY_LOW, "usedShare" to usedShare())
        thread(name = "renewal", isDaemon = true) {
            register()?.let(onRenewed)
            isRenewing.set(false)
        }
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 5_000L
        const val RENEWAL_SHARE = 0.8
    }
}

package org.medlarhook.sidecar.lifecycle

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.runtime.settings.SidecarLimits
import org.medlarhook.sidecar.IncarnationContext
import org.medlarhook.sidecar.status.StatusPublisher
import org.medlarhook.sidecar.status.UpstreamState

/**
 * The order of a planned stop: announce, refuse new attempts, finish running ones, wait for a collector to take the
 * last receipts. Seals and receipts are answered until the end.
 */
internal class GracefulStop(
    private val state: UpstreamState,
    private val publisher: StatusPublisher,
    private val limits: SidecarLimits,
    private val time: TimeSource,
) {
    private val logger = KotlinLogging.logger {}

    /** Blocks until the process may close its listeners. */
    fun run(context: IncarnationContext?) {
        logger.event(LogEvent.DRAIN_STARTED)
        state.isDraining = true
        publisher.publish()
        if (context != null) finish(context)
        publisher.close()
    }

    private fun finish(context: IncarnationContext) {
        context.runner.drain()
        if (!waitFor(limits.drainLimitMs) { context.runner.isIdle() }) {
            logger.warnEvent(LogEvent.DRAIN_LIMIT_PASSED, "running" to context.dispatcher.load.running)
            context.runner.stopAll()
        }
        waitFor(limits.receiptLimitMs) { context.receiptLogs.all { it.isFlushed() } }
    }

    private fun waitFor(limitMs: Long, condition: () -> Boolean): Boolean {
        val endMs = time.monotonicMs() + limitMs
        while (!condition()) {
            if (time.monotonicMs() >= endMs) return false
            Thread.sleep(POLL_MS)
        }
        return true
    }

    private companion object {
        const val POLL_MS = 20L
    }
}

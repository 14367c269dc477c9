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
 * The steps of a planned stop: report the drain to entries, refuse new attempts, let running ones finish, and wait for
 * a collector to pull the last receipts. Seal and receipt requests are answered until the end.
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
        if (!awaitCondition(limits.drainLimitMs) { context.runner.isIdle() }) {
            logger.warnEvent(LogEvent.DRAIN_LIMIT_PASSED, "running" to context.dispatcher.load.running)
            context.runner.stopAll()
        }
        awaitCondition(limits.receiptLimitMs) { context.receiptLogs.all { it.isFullyCollected() } }
    }

    private fun awaitCondition(timeoutMs: Long, condition: () -> Boolean): Boolean {
        val endMs = time.monotonicMs() + timeoutMs
        while (!condition()) {
            if (time.monotonicMs() >= endMs) return false
            Thread.sleep(POLL_INTERVAL_MS)
        }
        return true
    }

    private companion object {
        const val POLL_INTERVAL_MS = 20L
    }
}

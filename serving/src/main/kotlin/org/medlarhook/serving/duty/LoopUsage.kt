package org.medlarhook.serving.duty

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.serving.limit.ProcessShare
import org.medlarhook.core.serving.usage.UsageWindows
import org.medlarhook.core.serving.usage.WindowCounts
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.call.ServingLoop
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * Reaches the request path by tasks of its event loop, and waits for each of them up to [LOOP_TIMEOUT_MS].
 *
 * @param onCountsRead receives the counts of all processes on the event loop.
 */
internal class LoopUsage(
    private val serving: ServingLoop,
    private val peer: ReportedPeer,
    private val onCountsRead: (WindowCounts) -> Unit = {},
) : RequestUsage {
    override fun read(): UsageWindows? = onLoop { serving.usage }

    override fun update(change: (UsageWindows) -> UsageWindows) {
        onLoop { serving.updateUsage(change) }
    }

    override fun onSuspended() {
        onLoop { serving.suspended() }
    }

    override fun peerAddress(): String? = peer.address()?.toString()

    override fun onProcessesRead(counts: WindowCounts, share: ProcessShare?) {
        val processes = counts.continuing.size
        if (processes > 0) onLoop { serving.retryBudgets.setProcessCount(processes) }
        onLoop { peer.onProcessesRead(counts.peers) }
        onLoop { serving.availability.share = share }
        onLoop { serving.allowances.processesRead(counts.continuing) }
        onLoop { onCountsRead(counts) }
    }

    private fun <T : Any> onLoop(task: () -> T): T? =
        runCatching { serving.loop.submit(task).get(LOOP_TIMEOUT_MS, TimeUnit.MILLISECONDS) }
            .onFailure { logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "loop", "cause" to it.toString()) }
            .getOrNull()

    private companion object {
        const val LOOP_TIMEOUT_MS = 2_000L
    }
}

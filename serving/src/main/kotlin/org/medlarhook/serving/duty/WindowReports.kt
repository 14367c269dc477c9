package org.medlarhook.serving.duty

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.lease.Authority
import org.medlarhook.core.lease.LeaseManager
import org.medlarhook.core.serving.usage.SumPermission
import org.medlarhook.core.serving.usage.WindowCounts
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.process.ServingBounds

private val logger = KotlinLogging.logger {}

/**
 * Reports the windows of all processes while this process holds the usage [lease].
 *
 * @param holder the name under which the platform knows this VM.
 */
internal class WindowReports(
    private val holder: String,
    private val lease: LeaseManager,
    private val counts: UsageCounts,
    private val frozenWindows: FrozenWindows,
    private val sharedClock: SharedClock,
    private val reporting: WindowReporting,
    private val bounds: ServingBounds,
    private val time: TimeSource,
) {
    private val deliveredWindows = HashSet<Long>()
    private val leftOutWindows = HashSet<Long>()
    private val countsByWindow = HashMap<Long, WindowCounts>()
    private var unansweredAtMs: Long? = null

    /** Reports [window] if that is due at [sharedMs] on the shared clock, in the era that began at [eraStart]. */
    fun report(window: Long, eraStart: DrillRecovery.EraStart, sharedMs: Long) {
        if (window in deliveredWindows) return
        val windowEndMs = (window + 1) * bounds.usageWindowMs
        if (sharedMs < windowEndMs + SETTLE_MS) return
        when (SumPermission.of(windowEndMs, SETTLE_MS, eraStart.startedAtMs, sharedMs)) {
            SumPermission.AWAITING_COUNTS -> Unit
            SumPermission.SUM_MAY_BE_LOST -> deliverExisting(window, eraStart, sharedMs - windowEndMs)
            SumPermission.GRANTED -> deliverSum(window, eraStart, sharedMs - windowEndMs)
        }
    }

    /** True if a report that got no answer within [withinMs] before [nowMs] may still arrive. */
    fun mayArriveLate(nowMs: Long, withinMs: Long): Boolean = unansweredAtMs?.let { nowMs - it < withinMs } == true

    /** Forgets the windows before [window], which are not reported any more. */
    fun forgetBefore(window: Long) {
        deliveredWindows.removeIf { it < window }
        leftOutWindows.removeIf { it < window }
        countsByWindow.keys.removeIf { it < window }
        frozenWindows.forgetBefore(window)
    }

    /** Reports a window whose sum another process has written again after a drill, or leaves it out. */
    private fun deliverExisting(window: Long, eraStart: DrillRecovery.EraStart, endedMs: Long) {
        val authority = authorityIn(eraStart) ?: return
        val sum = freeze(window, authority) { null }
        if (sum != null) return deliver(window, sum, eraStart, endedMs, "writtenAgain" to true)
        val isDueSoon = endedMs >= bounds.usageLateMs - bounds.usageWindowMs
        if (isDueSoon && leftOutWindows.add(window)) {
            logger.warnEvent(LogEvent.WINDOW_LEFT_OUT, "window" to window, "era" to eraStart.era, "endedMs" to endedMs)
        }
    }

    private fun deliverSum(window: Long, eraStart: DrillRecovery.EraStart, endedMs: Long) {
        val current = counts.of(window).getOrElse { return }
        val earlier = (window - AWAITED_WINDOWS..<window).mapNotNull { countsByWindow[it] ?: counts.of(it).getOrNull() }
        countsByWindow[window] = current
        val isWhole = current.isWhole(earlier)
        if (!isWhole && endedMs < bounds.usageLateMs - LATE_MARGIN_MS) return
        val authority = authorityIn(eraStart) ?: return
        val sum = freeze(window, authority) { current.sum() } ?: return
        deliver(window, sum, eraStart, endedMs, "processes" to current.byProcess.size, "isWhole" to isWhole)
    }

    /** Freezes the sum unless an answer of the store shows that the clock of this process has stood still. */
    private fun freeze(window: Long, authority: Authority, sum: () -> Map<String, Long>?): Map<String, Long>? =
        if (isStillSure()) {
            frozenWindows.freeze(window, authority, sharedClock) { sum()?.takeIf { isStillSure() } }
        } else {
            null
        }

    private fun isStillSure(): Boolean {
        sharedClock.observe()
        return sharedClock.isSure
    }

    private fun actingAuthorityIn(eraStart: DrillRecovery.EraStart) =
        authorityIn(eraStart)?.takeIf { it.mayAct(time.monotonicMs()) }

    private fun authorityIn(eraStart: DrillRecovery.EraStart) =
        lease.authority()?.takeIf { it.scope.tableEra == eraStart.era }

    private fun deliver(
        window: Long,
        sum: Map<String, Long>,
        eraStart: DrillRecovery.EraStart,
        endedMs: Long,
        vararg details: Pair<String, Any>,
    ) {
        val authority = actingAuthorityIn(eraStart) ?: return
        val isPermitted = { actingAuthorityIn(eraStart)?.epoch == authority.epoch }
        reporting.deliver(window, sum, holder, authority.epoch, isPermitted).fold(
            {
                unansweredAtMs = time.monotonicMs()
                logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "usage", "window" to window, "cause" to it)
            },
            {
                deliveredWindows += window
                logger.event(
                    LogEvent.WINDOW_SENT,
                    "window" to window,
                    "counts" to sum,
                    "era" to eraStart.era,
                    "epoch" to authority.epoch,
                    "endedMs" to endedMs,
                    *details,
                )
            },
        )
    }

    private companion object {
        /** Preceding windows whose processes are awaited, so that one cut off from the store for two is noticed. */
        const val AWAITED_WINDOWS = 2L

        /** Rows of a window are closed within two seconds of its end; the rest covers a slow store. */
        const val SETTLE_MS = 2_300L

        /** This long before it is late, a window is sent with the rows that exist; a take-over needs about as long. */
        const val LATE_MARGIN_MS = 4_000L
    }
}

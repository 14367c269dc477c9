package org.medlarhook.serving.duty

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.lease.Jitter
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.serving.process.StoreEra

private val logger = KotlinLogging.logger {}

/**
 * Follows the era of the store for the usage reports.
 *
 * After a rise, each process writes again what it knows and the store may have lost: sums, the shared clock with the
 * beginning of the era, and its counts, which the reporter publishes.
 */
internal class DrillRecovery(
    process: String,
    private val era: StoreEra,
    private val sharedClock: SharedClock,
    private val frozenWindows: FrozenWindows,
) {
    private val jitter = Jitter(FULL_SPREAD_PERCENT, process)
    private var followedEra: Long? = null
    private var recoveredEra: Long? = null
    private var recoverAtMs = 0L
    private var agreeAgainAtMs = Long.MAX_VALUE

    /**
     * The beginning of the current era, or null while it is not known, not all is written again, or the clock is in
     * doubt.
     */
    val start: EraStart?
        get() = followedEra?.takeIf { it == recoveredEra && sharedClock.isAgreedIn(it) }?.let {
            EraStart(it, sharedClock.beganAtMs)
        }

    /**
     * Notices a new era of the store. Returns true once after each rise, when the counts of this process must be
     * published again.
     *
     * @param current the era, read before [nowMs], so that it began before that.
     * @param nowMs the monotonic clock.
     */
    fun notice(current: Long, nowMs: Long): Boolean {
        if (current == followedEra) return false
        val hasRisen = followedEra != null
        followedEra = current
        sharedClock.notice(current, nowMs)
        recoverAtMs = if (hasRisen) nowMs + jitter.spread(SPREAD_MS / 2, current) else nowMs
        agreeAgainAtMs = if (current == 0L) Long.MAX_VALUE else nowMs + AGREE_AGAIN_AFTER_MS
        return hasRisen
    }

    /** Agrees on the shared clock, and writes what was lost, until that is done. */
    fun recover(nowMs: Long) {
        val current = followedEra ?: return
        if (nowMs < recoverAtMs) return
        if (nowMs >= agreeAgainAtMs) {
            agreeAgainAtMs = Long.MAX_VALUE
            sharedClock.outdate()
        }
        val isAgreed = sharedClock.isAgreedIn(current) || sharedClock.agree()
        if (isAgreed && current != recoveredEra && current == era.current) writeAgain(current)
    }

    /** Tried again in the next step if the store does not answer, or rises once more. */
    private fun writeAgain(current: Long) {
        if (!frozenWindows.writeAgain(current) || era.current != current) return
        recoveredEra = current
        if (current == 0L) return
        logger.event(LogEvent.USAGE_RECOVERED, "era" to current, "startedAtMs" to sharedClock.beganAtMs)
    }

    /**
     * When an era of the store began.
     *
     * @property startedAtMs a time on the shared clock at or after its beginning: a later one leaves more windows out,
     * an earlier one could let a window be summed up twice. Null for the first era, which begins with an empty store.
     */
    data class EraStart(
        val era: Long,
        val startedAtMs: Long?,
    )

    private companion object {
        /** Processes write again within this time, at moments of their own, so that the store is not overloaded. */
        const val SPREAD_MS = 1_000L
        const val FULL_SPREAD_PERCENT = 100

        /** By then every process that heard of the rise in time has raised the shared clock if its own is ahead. */
        const val AGREE_AGAIN_AFTER_MS = 4_000L
    }
}

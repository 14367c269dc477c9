package org.medlarhook.serving.duty

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.lease.Jitter
import org.medlarhook.ports.Condition
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.serving.process.StoreEra

private val logger = KotlinLogging.logger {}

/**
 * Follows the era of the store for the usage reports.
 *
 * After a rise, each process writes again what it knows and the store may have lost: sums, the offset of the shared
 * clock, and its counts, which the reporter publishes. All processes agree on when the era began by a row that is
 * written once, so that one that starts later knows which sums may be lost.
 */
internal class DrillRecovery(
    process: String,
    private val tables: TableService,
    private val era: StoreEra,
    private val sharedClock: SharedClock,
    private val frozenWindows: FrozenWindows,
) {
    private val jitter = Jitter(FULL_SPREAD_PERCENT, process)
    private var followedEra: Long? = null
    private var noticedAtMs = 0L
    private var recoverAtMs = 0L
    private var mayBeginAtMs = 0L

    /** The beginning of the current era, or null while it is not known or not all is written again. */
    var start: EraStart? = null
        private set

    /**
     * Notices a new era of the store. Returns true once after each rise, when the counts of this process must be published
     * again.
     *
     * @param current the era, read before [nowMs], so that it began before that.
     * @param nowMs the monotonic clock.
     */
    fun notice(current: Long, nowMs: Long): Boolean {
        if (current == followedEra) return false
        val hasRisen = followedEra != null
        followedEra = current
        start = if (current == 0L) EraStart(current, startedAtMs = null) else null
        noticedAtMs = nowMs
        recoverAtMs = if (hasRisen) nowMs + jitter.spread(SPREAD_MS / 2, current) else nowMs
        mayBeginAtMs = if (hasRisen) nowMs else nowMs + SharedClock.AWAITED_MS
        return hasRisen
    }

    /**
     * Writes what was lost, until that is done.
     *
     * @param offsetMs the shared clock minus the monotonic clock.
     */
    fun recover(nowMs: Long, offsetMs: Long) {
        val current = followedEra ?: return
        if (start == null && nowMs >= recoverAtMs) recover(current, nowMs, offsetMs)
    }

    /** Tried again in the next step if the store does not answer, or rises once more. */
    private fun recover(current: Long, nowMs: Long, offsetMs: Long) {
        val restoredOffsetMs = sharedClock.restore(offsetMs) ?: return
        val startedAtMs = agreeOnStart(current, noticedAtMs + restoredOffsetMs, nowMs) ?: return
        if (!frozenWindows.writeAgain(current) || era.current != current) return
        start = EraStart(current, startedAtMs)
        logger.event(
            LogEvent.USAGE_RECOVERED,
            "era" to current,
            "startedAtMs" to startedAtMs,
            "noticedAtMs" to noticedAtMs + offsetMs,
        )
    }

    /**
     * Returns when the era began, as the first process has written it. A process that has just started leaves that to
     * those that know the shared clock from before, if there are any.
     */
    private fun agreeOnStart(current: Long, ownMs: Long, nowMs: Long): Long? {
        val key = RowKey(TABLE, "$current")
        val existing = tables.read(key).getOrElse { return null }
        if (existing != null) return existing.value.toLongOrNull()
        if (nowMs < mayBeginAtMs) return null
        tables.transact(Transaction(listOf(Condition(key, Condition.ABSENT)), listOf(Write(key, "$ownMs"))))
        return tables.read(key).getOrNull()?.value?.toLongOrNull()
    }

    /**
     * When an era of the store began.
     *
     * @property startedAtMs a time on the shared clock at or after its beginning: a later one leaves more windows out, an
     * earlier one could let a window be summed up twice. Null for the first era, which begins with an empty store.
     */
    data class EraStart(
        val era: Long,
        val startedAtMs: Long?,
    )

    private companion object {
        const val TABLE = "era"

        /** Processes write again within this time, at moments of their own, so that the store is not overloaded. */
        const val SPREAD_MS = 1_000L
        const val FULL_SPREAD_PERCENT = 100
    }
}

package org.medlarhook.core.serving.allowance

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.abs

/**
 * One process's view of the token bucket that all processes have for a workspace.
 *
 * Each process withdraws from its view what it uses itself, what the others have told, and what they are expected to
 * have used since. Answers a workspace that asks for more than its allowance, with its demand at one process, spread
 * over all, or moving from one to the other: near the limit, each process admits requests with the probability with
 * which the bucket covers all that is asked until the next reports, so that shares follow demand without being handed
 * out. What was admitted too much is withdrawn with the next report, so that the sum returns to the rate.
 *
 * @property level units in the bucket as of [atMs]; negative after requests larger than what was left.
 * @param alone units in a bucket with an equal share of rate and capacity, which binds while no other process is heard.
 * It is kept all the time, so that what was used until the silence was noticed counts too.
 */
public data class SharedAllowance(
    val limits: AllowanceLimits,
    val level: Double,
    private val atMs: Long,
    private val own: ToldUse,
    private val alone: Double = 0.0,
    private val others: PersistentMap<String, ToldUse> = persistentMapOf(),
    private val othersUsed: DecayingRate = DecayingRate(0.0, atMs),
    private val othersAsked: DecayingRate = DecayingRate(0.0, atMs),
    private val told: ToldUse = own,
) {
    /** Units a second that are asked of all processes at [nowMs], as far as this one knows. */
    public fun askedPerS(nowMs: Long): Double = own.asked.at(nowMs) + othersAsked.at(nowMs)

    /** Units a second that the other processes use at [nowMs], as far as this one knows. */
    public fun othersPerS(nowMs: Long): Double = othersUsed.at(nowMs)

    /** Units that this process has used since it started. */
    public val usedUnits: Double get() = own.usedUnits

    /** The bucket at [nowMs], of which this process and those that it hears have the part that [share] states. */
    public fun refilled(share: HeardShare, nowMs: Long): SharedAllowance {
        val elapsedMs = nowMs - atMs
        if (elapsedMs <= 0) return this
        val usedUnits = othersUsed.expectedUntil(nowMs)
        val capacity = limits.capacity * share.part
        val unitsIn = limits.perS * minOf(elapsedMs, LONGEST_PAUSE_MS) / MS_PER_S
        val aloneNext = minOf(limits.capacity / share.processes, alone + unitsIn / share.processes)
        val isUncertain = share.isAlone || elapsedMs > LONGEST_PAUSE_MS
        val refilled = level + unitsIn * share.part - usedUnits
        return copy(
            level = minOf(capacity, refilled, if (isUncertain) aloneNext else capacity),
            alone = aloneNext,
            atMs = nowMs,
            othersUsed = othersUsed.plusRate(0.0, nowMs),
        )
    }

    /** Decides on a request of [cost] units at [nowMs]; [draw] is uniform from 0 to 1. */
    public fun decide(cost: Double, draw: Double, share: HeardShare, nowMs: Long): AllowanceDecision {
        val current = refilled(share, nowMs).run { copy(own = own.withAsked(cost, nowMs)) }
        val othersUnits = current.othersAsked.at(nowMs) * share.stalenessMs / MS_PER_S
        val needed = minOf(cost, limits.capacity) + othersUnits
        return if (draw * needed < current.level || cost <= 0) {
            AllowanceDecision.Within(current.used(cost, nowMs))
        } else {
            AllowanceDecision.Over(current, current.retryAfterMs(needed, nowMs))
        }
    }

    /** The time in which the missing units come in, longer by as much as more is asked than that. */
    private fun retryAfterMs(needed: Double, nowMs: Long): Long {
        val crowd = maxOf(1.0, askedPerS(nowMs) / limits.perS)
        val waitMs = (needed - level) / limits.perS * crowd * MS_PER_S
        return waitMs.coerceIn(MIN_RETRY_MS, MAX_RETRY_MS).toLong()
    }

    /** Withdraws [cost] units for a request that was sent, or puts them back if they are negative. */
    public fun used(cost: Double, nowMs: Long): SharedAllowance =
        copy(
            level = level - cost,
            alone = (alone - cost).coerceAtLeast(-limits.capacity),
            own = own.withUsed(cost, nowMs),
        )

    /** Records the [use] that [process] has told; what was expected of it gives way to what it has used. */
    public fun heard(process: String, use: AllowanceUse, share: HeardShare, nowMs: Long): SharedAllowance {
        val current = refilled(share, nowMs)
        val earlier = others[process]
        val next = ToldUse.of(use, nowMs)
        val known = earlier?.let { it.usedUnits + it.used.expectedUntil(nowMs) }
        val surplus = if (known == null) next.used.lastingUnits() else next.usedUnits - known
        return current.copy(
            level = minOf(limits.capacity * share.part, current.level - surplus),
            others = others.put(process, next),
            othersUsed = current.othersUsed.plusRate(next.used.perS - (earlier?.used?.at(nowMs) ?: 0.0), nowMs),
            othersAsked = othersAsked.plusRate(next.asked.perS - (earlier?.asked?.at(nowMs) ?: 0.0), nowMs),
        )
    }

    /** Forgets processes that are not in [kept]; what they used lately fades. */
    public fun forgetOthers(kept: (String) -> Boolean): SharedAllowance =
        others.keys.filterNot(kept).fold(this) { state, name -> state.copy(others = state.others.remove(name)) }

    /** Puts other [limits] in force; a lower capacity binds at once. */
    public fun withLimits(limits: AllowanceLimits): SharedAllowance =
        copy(limits = limits, level = minOf(level, limits.capacity))

    /** True if this process has used or been asked for units that it has not told. */
    public val hasNews: Boolean get() = own.usedUnits != told.usedUnits || own.askedUnits != told.askedUnits

    /**
     * True if the others should be told at once: near the limit of all that is new, else once they are off by a part
     * of the bucket that leaves all processes together within it.
     */
    public fun isReportDue(share: HeardShare, nowMs: Long): Boolean {
        val isNearLimit =
            level < limits.capacity * NEAR_LIMIT_SHARE || level < askedPerS(nowMs) * share.stalenessMs / MS_PER_S
        val offBy =
            maxOf(
                abs(own.usedUnits - told.usedUnits - told.used.expectedUntil(nowMs)),
                abs(own.askedUnits - told.askedUnits - told.asked.expectedUntil(nowMs)),
            )
        return offBy > limits.capacity / share.processes || isNearLimit && hasNews
    }

    /** What this process tells of [workspace] at [nowMs]. */
    public fun report(workspace: String, nowMs: Long): AllowanceUse =
        AllowanceUse(
            workspace = workspace,
            usedUnits = own.usedUnits.coerceAtLeast(0.0),
            askedUnits = own.askedUnits,
            usedPerS = own.used.at(nowMs),
            askedPerS = own.asked.at(nowMs),
        )

    /** Records that [report] was told at [nowMs]. */
    public fun reported(report: AllowanceUse, nowMs: Long): SharedAllowance = copy(told = ToldUse.of(report, nowMs))

    public companion object {
        /**
         * The bucket of a process that begins at [nowMs]: it is empty, because those of before may have used the burst.
         */
        public fun starting(limits: AllowanceLimits, nowMs: Long): SharedAllowance =
            SharedAllowance(limits, level = 0.0, atMs = nowMs, own = ToldUse.none(nowMs))

        /** After a longer pause of this process, its bucket holds no more than an equal share. */
        private const val LONGEST_PAUSE_MS = 1_000L
        private const val NEAR_LIMIT_SHARE = 0.5
        private const val MIN_RETRY_MS = 50.0
        private const val MAX_RETRY_MS = 60_000.0
        private const val MS_PER_S = 1_000.0
    }
}

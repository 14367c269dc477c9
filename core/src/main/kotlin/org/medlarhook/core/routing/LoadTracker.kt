package org.medlarhook.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.exp

/**
 * The work that an entry has in flight at each upstream, and the last report of each.
 *
 * A report counts the work of all entries; the entry's own share at that time is taken out of it, and the rest is
 * discounted by its age. An upstream that was never heard from is taken to have the default speed and no other work.
 */
public class LoadTracker private constructor(
    private val defaultSpeed: EngineSpeed,
    private val discountMs: Double,
    private val loads: PersistentMap<String, TrackedLoad>,
) {
    public constructor(defaultSpeed: EngineSpeed, discountMs: Double = DEFAULT_DISCOUNT_MS) :
        this(defaultSpeed, discountMs, persistentMapOf())

    /** Counts a request that was sent to [upstreamId]. */
    public fun started(upstreamId: String, work: WorkTokens): LoadTracker =
        update(upstreamId) { it.copy(own = it.own + work, ownRequests = it.ownRequests + 1) }

    /** Takes out work that is done while its request goes on, such as the prefill when the first token comes. */
    public fun progressed(upstreamId: String, done: WorkTokens): LoadTracker =
        update(upstreamId) { it.copy(own = it.own - done) }

    /** Takes out a request that has ended with [remaining] work not done. */
    public fun ended(upstreamId: String, remaining: WorkTokens): LoadTracker =
        update(upstreamId) {
            it.copy(own = it.own - remaining, ownRequests = (it.ownRequests - 1).coerceAtLeast(0))
        }

    /** Records [report], unless a newer one is known. */
    public fun reported(upstreamId: String, report: LoadReport): LoadTracker =
        update(upstreamId) { load ->
            if (load.report != null && load.report.reportedAtMs > report.reportedAtMs) return@update load
            load.copy(
                report = report,
                others = report.work - load.own,
                othersRequests = (report.requests - load.ownRequests).coerceAtLeast(0),
            )
        }

    /** Forgets an upstream that is gone. */
    public fun removed(upstreamId: String): LoadTracker =
        LoadTracker(defaultSpeed, discountMs, loads.remove(upstreamId))

    /** The estimate for [upstreamId] at [nowMs]. */
    public fun estimate(upstreamId: String, nowMs: Long): LoadEstimate {
        val load = loads[upstreamId] ?: return LoadEstimate(speed = defaultSpeed)
        val share = load.report?.let { exp(-(nowMs - it.reportedAtMs).coerceAtLeast(0) / discountMs) } ?: 0.0
        return LoadEstimate(
            own = load.own,
            ownRequests = load.ownRequests,
            others = load.others * share,
            othersRequests = load.othersRequests * share,
            speed = load.report?.speed ?: defaultSpeed,
        )
    }

    private fun update(upstreamId: String, change: (TrackedLoad) -> TrackedLoad): LoadTracker =
        LoadTracker(defaultSpeed, discountMs, loads.put(upstreamId, change(loads[upstreamId] ?: TrackedLoad())))

    private data class TrackedLoad(
        val own: WorkTokens = WorkTokens.NONE,
        val ownRequests: Int = 0,
        val others: WorkTokens = WorkTokens.NONE,
        val othersRequests: Int = 0,
        val report: LoadReport? = null,
    )

    private companion object {
        const val DEFAULT_DISCOUNT_MS = 5_000.0
    }
}

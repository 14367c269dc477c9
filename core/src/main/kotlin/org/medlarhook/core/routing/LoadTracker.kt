package org.medlarhook.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.exp

/**
 * The work that an entry has in flight at each upstream, and the newest load report of each upstream.
 *
 * A report counts the work of all entries. The entry subtracts its own work in flight when the report arrives and
 * discounts the rest exponentially by the age of the report. An upstream that has not reported yet is assumed to have
 * the default speed and no work from other entries.
 *
 * @param decayMs time constant of the discount: the work of others in a report of this age counts 1/e of its value.
 */
public class LoadTracker private constructor(
    private val defaultSpeed: EngineSpeed,
    private val decayMs: Double,
    private val loads: PersistentMap<String, TrackedLoad>,
) {
    public constructor(defaultSpeed: EngineSpeed, decayMs: Double = DEFAULT_DECAY_MS) :
        this(defaultSpeed, decayMs, persistentMapOf())

    /** Adds a request that was sent to [upstreamId]. */
    public fun started(upstreamId: String, work: WorkTokens): LoadTracker =
        update(upstreamId) { it.copy(own = it.own + work, ownRequests = it.ownRequests + 1) }

    /** Subtracts work done by a request that is still running, such as its prefill once the first token arrives. */
    public fun progressed(upstreamId: String, done: WorkTokens): LoadTracker =
        update(upstreamId) { it.copy(own = it.own - done) }

    /** Subtracts a request that has ended, with its [remaining] work. */
    public fun ended(upstreamId: String, remaining: WorkTokens): LoadTracker =
        update(upstreamId) {
            it.copy(own = it.own - remaining, ownRequests = (it.ownRequests - 1).coerceAtLeast(0))
        }

    /** Stores [report] unless a newer one is stored. */
    public fun reported(upstreamId: String, report: LoadReport): LoadTracker =
        update(upstreamId) { load ->
            if (load.report != null && load.report.reportedAtMs > report.reportedAtMs) return@update load
            load.copy(
                report = report,
                others = report.work - load.own,
                othersRequests = (report.requests - load.ownRequests).coerceAtLeast(0),
            )
        }

    /** Removes an upstream that has left. */
    public fun removed(upstreamId: String): LoadTracker =
        LoadTracker(defaultSpeed, decayMs, loads.remove(upstreamId))

    /** The estimated load of [upstreamId] at [nowMs]. */
    public fun estimate(upstreamId: String, nowMs: Long): LoadEstimate {
        val load = loads[upstreamId] ?: return LoadEstimate(speed = defaultSpeed)
        val discount = load.report?.let { exp(-(nowMs - it.reportedAtMs).coerceAtLeast(0) / decayMs) } ?: 0.0
        return LoadEstimate(
            own = load.own,
            ownRequests = load.ownRequests,
            others = load.others * discount,
            othersRequests = load.othersRequests * discount,
            speed = load.report?.speed ?: defaultSpeed,
        )
    }

    private fun update(upstreamId: String, change: (TrackedLoad) -> TrackedLoad): LoadTracker =
        LoadTracker(defaultSpeed, decayMs, loads.put(upstreamId, change(loads[upstreamId] ?: TrackedLoad())))

    private data class TrackedLoad(
        val own: WorkTokens = WorkTokens.NONE,
        val ownRequests: Int = 0,
        val others: WorkTokens = WorkTokens.NONE,
        val othersRequests: Int = 0,
        val report: LoadReport? = null,
    )

    private companion object {
        const val DEFAULT_DECAY_MS = 5_000.0
    }
}

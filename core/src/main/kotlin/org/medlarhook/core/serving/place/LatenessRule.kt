package org.medlarhook.core.serving.place

/** Decides which requests are worth taking on although their answer comes after the objective. */
public class LatenessRule(
    private val newcomerShare: Double = NEWCOMER_SHARE,
    private val returningShare: Double = RETURNING_SHARE,
) {
    /** Returns true if [demand] should be served with its first event in [firstEventMs] from [nowMs]. */
    public fun mayTake(demand: Demand, firstEventMs: Double, hasFreePlace: Boolean, nowMs: Long): Boolean {
        val leftMs = demand.finalAtMs - nowMs
        if (firstEventMs > leftMs) return false
        if (demand.generation == null || hasFreePlace) return true
        if (nowMs + firstEventMs <= demand.objectiveAtMs) return true
        return firstEventMs <= leftMs * if (demand.isReturning) returningShare else newcomerShare
    }

    /** The time after which [demand] would be taken on, if the work there is goes down and no more comes. */
    public fun roomInMs(demand: Demand, firstEventMs: Double, nowMs: Long): Double =
        (firstEventMs - (demand.objectiveAtMs - nowMs).coerceAtLeast(0)).coerceAtLeast(0.0)

    private companion object {
        /** Up to a part of its time a request still gains by waiting; beyond it, its place is worth more to another. */
        const val NEWCOMER_SHARE = 0.25

        /** Leaves a part of the time for the prediction's error. */
        const val RETURNING_SHARE = 0.7
    }
}

package org.medlarhook.core.serving.place

/**
 * Decides which requests are taken on by their predicted first event.
 *
 * Answers the load pattern of demand over what the engines can do: a queue that grows past the objective makes every
 * answer late, while turning away at once keeps those that are taken on in time.
 *
 * @param newcomerShare the share of the objective within which a newcomer's first event must be predicted.
 * @param returningShare the same for one that was refused before.
 */
public class FirstEventAdmission(
    private val newcomerShare: Double = NEWCOMER_SHARE,
    private val returningShare: Double = RETURNING_SHARE,
) {
    /** Returns true if [demand] should be served with its first event in [firstEventMs] from [nowMs]. */
    public fun admits(demand: Demand, firstEventMs: Double, hasFreePlace: Boolean, nowMs: Long): Boolean {
        val leftMs = demand.deadlineAtMs - nowMs
        if (firstEventMs > leftMs) return false
        if (demand.generation == null || hasFreePlace) return true
        if (firstEventMs <= leftMs * PATIENCE_SHARE) return true
        return firstEventMs <= demand.route.objectiveMs * if (demand.isClientRetry) returningShare else newcomerShare
    }

    /** The time after which [demand] would be taken on, if the work there is goes down and no more comes. */
    public fun admissibleInMs(demand: Demand, firstEventMs: Double, nowMs: Long): Double =
        (firstEventMs - (demand.objectiveAtMs - nowMs).coerceAtLeast(0)).coerceAtLeast(0.0)

    private companion object {
        /** A wait of a tenth of what the caller has left is worth more to it than coming back. */
        const val PATIENCE_SHARE = 0.1

        /** Leaves a part of the objective for the prediction's error. */
        const val NEWCOMER_SHARE = 0.8

        /** One that was refused can't meet the objective any more; it is let in before newcomers. */
        const val RETURNING_SHARE = 1.2
    }
}

package org.medlarhook.core.serving.place

/**
 * Admits requests by their predicted time to the first event.
 *
 * Designed for load above the capacity of the engines: a queue that takes longer than the objective makes every answer
 * late, whereas shedding at once keeps the admitted requests in time. Where demands have a standing, a workspace above
 * its fair share is admitted up to a lower predicted time, so that the room that is left goes to the others.
 *
 * @param newRequestShare the share of the objective within which the first event of a new request must be predicted.
 * @param clientRetryShare the same for a client retry.
 */
public class FirstEventAdmission(
    private val newRequestShare: Double = NEW_REQUEST_OBJECTIVE_SHARE,
    private val clientRetryShare: Double = CLIENT_RETRY_OBJECTIVE_SHARE,
) {
    /** Returns true if [demand], with its first event predicted [firstEventMs] after [nowMs], is admitted. */
    public fun admits(demand: Demand, firstEventMs: Double, hasFreePlace: Boolean, nowMs: Long): Boolean {
        if (firstEventMs > demand.deadlineAtMs - nowMs) return false
        return hasFreePlace || firstEventMs <= limitMs(demand, nowMs)
    }

    /** The predicted time to the first event up to which [demand] is admitted at an upstream without a free place. */
    public fun limitMs(demand: Demand, nowMs: Long): Double {
        val remainingMs = (demand.deadlineAtMs - nowMs).toDouble()
        val factor = demand.standing?.objectiveFactor ?: 1.0
        val objectiveMs = demand.route.objectiveMs.toDouble()
        if (demand.generation == null) {
            return if (demand.standing?.isAboveShare == true) minOf(objectiveMs, remainingMs) else remainingMs
        }
        val share = if (demand.isClientRetry) clientRetryShare else newRequestShare
        val usualMs = maxOf(remainingMs * ACCEPTABLE_WAIT_SHARE, objectiveMs * share)
        val limitMs =
            if (factor <= 1) usualMs * factor else maxOf(usualMs, objectiveMs * minOf(1.0, newRequestShare * factor))
        return minOf(limitMs, remainingMs)
    }

    /** The time after which [demand] would be admitted if the queued work drains and no more arrives. */
    public fun admissibleInMs(demand: Demand, firstEventMs: Double, nowMs: Long): Double =
        (firstEventMs - (demand.objectiveAtMs - nowMs).coerceAtLeast(0)).coerceAtLeast(0.0)

    private companion object {
        /** Share of the remaining time; a wait of up to a tenth of it is better for the caller than a retry. */
        const val ACCEPTABLE_WAIT_SHARE = 0.1

        /** Leaves a part of the objective for prediction errors. */
        const val NEW_REQUEST_OBJECTIVE_SHARE = 0.8

        /** A client retry can't meet the objective any more; it is admitted in preference to new requests. */
        const val CLIENT_RETRY_OBJECTIVE_SHARE = 1.2
    }
}

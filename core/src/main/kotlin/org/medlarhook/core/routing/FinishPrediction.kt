package org.medlarhook.core.routing

/**
 * The time at which an answer is expected to be complete.
 *
 * @property finishMs finish given the present load of the upstream.
 * @property unloadedFinishMs finish on an idle upstream. A deadline before it can't be met, whenever the request is
 * retried.
 */
public data class FinishPrediction(
    val finishMs: Long,
    val unloadedFinishMs: Long,
)

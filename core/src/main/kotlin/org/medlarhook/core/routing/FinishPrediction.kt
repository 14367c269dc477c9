package org.medlarhook.core.routing

/**
 * When an answer is expected to be complete.
 *
 * @property finishMs with the work that is there now.
 * @property unloadedFinishMs with no other work; a deadline before it can't be met by waiting and trying again.
 */
public data class FinishPrediction(
    val finishMs: Long,
    val unloadedFinishMs: Long,
)

package org.medlarhook.core.attempt

import org.medlarhook.core.result.Failure

/** What an [AttemptScheduler] did with new work. */
public sealed interface SubmitResult {
    /** It waits for a slot. [displaced] had to leave the queue for it. */
    public data class Queued(
        val displaced: AttemptWork?,
    ) : SubmitResult

    /** It was not taken. */
    public data class Refused(
        val failure: Failure,
    ) : SubmitResult
}

package org.medlarhook.core.attempt

import org.medlarhook.core.result.Failure

/** The decision of an [AttemptScheduler] about a new attempt. */
public sealed interface SubmitResult {
    /** The attempt is queued. [displaced] was removed from the full queue to make room for it, if any. */
    public data class Queued(
        val displaced: AttemptWork?,
    ) : SubmitResult

    /** The attempt was not queued. */
    public data class Refused(
        val failure: Failure,
    ) : SubmitResult
}

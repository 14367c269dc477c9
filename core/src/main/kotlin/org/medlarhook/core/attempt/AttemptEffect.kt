package org.medlarhook.core.attempt

import org.medlarhook.core.result.Failure

/** What the caller of an [AttemptDispatcher] must do for an attempt. */
public sealed interface AttemptEffect {
    /** The attempt concerned. */
    public val attemptId: String

    /** Send the attempt to the upstream. */
    public data class Start(
        val work: AttemptWork,
    ) : AttemptEffect {
        override val attemptId: String get() = work.attemptId
    }

    /** Answer the attempt with [failure]; it was not sent to the upstream. */
    public data class Refuse(
        override val attemptId: String,
        val failure: Failure,
    ) : AttemptEffect

    /** Cancel the running call to the upstream. Its end is reported to [AttemptDispatcher.finish] like any other. */
    public data class Stop(
        override val attemptId: String,
    ) : AttemptEffect
}

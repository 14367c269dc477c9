package org.medlarhook.core.serving.second

/** Whether a request is sent to a second upstream while the first one is late. */
public sealed interface SecondAttemptDecision {
    /** It is sent now. */
    public data object Send : SecondAttemptDecision

    /** It is decided again at [untilMs]. */
    public data class Wait(
        val untilMs: Long,
    ) : SecondAttemptDecision

    /** It is not sent. */
    public data class Never(
        val reason: NotSentReason,
    ) : SecondAttemptDecision
}

/** Why a request whose first answer is late gets no second attempt. */
public enum class NotSentReason {
    /** Requests like it are not known well enough to tell that the answer is late. */
    UNKNOWN_TIMES,

    /** The request or the state of the process does not allow another attempt. */
    NOT_ALLOWED,

    /** The service has too much work. */
    OVERLOAD,

    /** No other upstream would begin it at once. */
    NO_ROOM,

    /** A second answer is expected after the deadline. */
    NO_TIME,

    /** The retry budget has no more than its reserve for retries after failures. */
    BUDGET,

    /** The extra work would exceed the operator's share. */
    SHARE,
}

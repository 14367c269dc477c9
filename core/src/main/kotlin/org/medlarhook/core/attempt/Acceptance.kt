package org.medlarhook.core.attempt

/** What an [AttemptRegistry] says to an attempt that arrives. */
public enum class Acceptance {
    /** It was not seen before and may be started once. */
    ACCEPTED,

    /** It was refused for good before it arrived. */
    SEALED,

    /** It was received before; whether it ran is a question for a seal. */
    DUPLICATE,

    /** It is meant for another incarnation. */
    WRONG_INCARNATION,

    /** The table can't remember one more attempt, so that it may not start. */
    EXHAUSTED,
}

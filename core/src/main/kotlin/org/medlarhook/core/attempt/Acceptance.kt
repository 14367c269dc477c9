package org.medlarhook.core.attempt

/** The decision of an [AttemptRegistry] about an attempt that arrives. */
public enum class Acceptance {
    /** The attempt was not received before and may be started once. */
    ACCEPTED,

    /** The attempt was sealed before it arrived: it never starts. */
    SEALED,

    /** The attempt was received before; [AttemptRegistry.seal] returns its status. */
    DUPLICATE,

    /** The attempt was sent to another incarnation. */
    WRONG_INCARNATION,

    /** The memory for attempts is full, so the attempt may not start: a second copy of it could not be recognised. */
    EXHAUSTED,
}

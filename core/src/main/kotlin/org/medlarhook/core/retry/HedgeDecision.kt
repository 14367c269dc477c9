package org.medlarhook.core.retry

/** Whether a second attempt is sent beside one that is late. */
public enum class HedgeDecision {
    /** Not yet. */
    WAIT,

    /** Send it now. */
    SEND,

    /** It would gain nothing, or is not allowed. */
    NEVER,
}

package org.medlarhook.core.retry

/** Whether a second attempt (a hedge) is sent while the first one is late. */
public enum class HedgeDecision {
    /** Do not send it yet. */
    WAIT,

    /** Send it now. */
    SEND,

    /** Do not send it: it has no benefit or is not allowed. */
    NEVER,
}

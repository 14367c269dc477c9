package org.medlarhook.core.serving.retry

/** What a request has to pay before it is sent to an upstream. */
public enum class ArrivalCost {
    /** Nothing, because it has not reached an upstream yet. */
    NONE,

    /** One retry of the budget. */
    RETRY,
}

package org.medlarhook.core.call

/** Gives out the retries that a process may spend. */
public fun interface CallRetryBudget {
    /** Counts a request, whose first attempt earns a share of a retry. */
    public fun onRequest(): Unit = Unit

    /** Takes one retry at [nowMs]; false if none is left. */
    public fun tryTake(nowMs: Long): Boolean
}

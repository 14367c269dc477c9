package org.medlarhook.core.call

/** Gives out the retries that a process may spend. */
public fun interface CallRetryBudget {
    /** Counts a first attempt. */
    public fun requested() {}

    /** Takes one retry at [nowMs]; false if none is left. */
    public fun tryTake(nowMs: Long): Boolean
}

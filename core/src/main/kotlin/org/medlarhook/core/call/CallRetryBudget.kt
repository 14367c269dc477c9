package org.medlarhook.core.call

/** The budget of retries that the requests of a process share. */
public fun interface CallRetryBudget {
    /** Counts a request, which adds a fraction of a retry to the budget. */
    public fun onRequest(): Unit = Unit

    /** Takes one retry from the budget at [nowMs]. Returns false if none is left. */
    public fun tryTake(nowMs: Long): Boolean
}

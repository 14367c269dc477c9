package org.medlarhook.core.retry

/**
 * Token bucket that limits retries and hedges to a share of the requests, so that a failure does not multiply the load.
 *
 * The retries in any period number at most [ratio] times its requests, plus [maxBalance].
 *
 * @property balance retries that may be sent now.
 */
public data class RetryBudget(
    val ratio: Double = 0.1,
    val maxBalance: Double = 10.0,
    val balance: Double = maxBalance,
) {
    /** Counts a request, which adds [ratio] of a retry to the balance. */
    public fun onRequest(): RetryBudget = copy(balance = minOf(balance + ratio, maxBalance))

    /** Takes one retry from the balance, or returns null if none is left. */
    public fun withdraw(): RetryBudget? = if (balance < 1) null else copy(balance = balance - 1)
}

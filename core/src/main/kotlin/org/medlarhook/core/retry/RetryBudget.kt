package org.medlarhook.core.retry

/**
 * Bounds retries and hedges to a share of the requests, so that a failure does not multiply the load.
 *
 * Retries in any span are at most [ratio] times its requests, plus [maxBalance].
 */
public data class RetryBudget(
    val ratio: Double = 0.1,
    val maxBalance: Double = 10.0,
    val balance: Double = maxBalance,
) {
    /** Counts a first attempt. */
    public fun onRequest(): RetryBudget = copy(balance = minOf(balance + ratio, maxBalance))

    /** Takes one retry, or returns null if there is none left. */
    public fun withdraw(): RetryBudget? = if (balance < 1) null else copy(balance = balance - 1)
}

package org.medlarhook.serving.call

import org.medlarhook.core.serving.retry.WindowedRetryBudget
import org.medlarhook.serving.process.ServingBounds

/** Keeps this process's part of the retry budget of each service. Used on the event loop only. */
internal class RetryBudgets(
    private var bounds: ServingBounds,
    private val log: RequestLog,
) {
    private val budgets = HashMap<String, WindowedRetryBudget>()

    /** The number of serving processes among which the slack of each budget is divided, or null before it is known. */
    var processCount: Int? = null
        private set

    /** Divides the slack among [count] processes from now on. */
    fun setProcessCount(count: Int) {
        processCount = count.coerceAtLeast(1)
        updateLimits()
    }

    /** Puts [newer] bounds in force. */
    fun updateBounds(newer: ServingBounds) {
        bounds = newer
        updateLimits()
    }

    /** Counts a caller's request for [service]. */
    fun requested(service: String, nowMs: Long) {
        budgets[service] = budgetOf(service).requested(nowMs)
    }

    /** Takes one retry from the budget of [service], or returns false if none is left. */
    fun withdraw(service: String, nowMs: Long): Boolean {
        val left = budgetOf(service).withdraw(nowMs)
        log.retry(if (left == null) RetryOutcome.REFUSED else RetryOutcome.WITHDRAWN)
        budgets[service] = left ?: return false
        return true
    }

    /** True if a retry is left in the budget of [service]; counts a refusal if none is. */
    fun allows(service: String, nowMs: Long): Boolean =
        budgetOf(service).hasLeft(nowMs).also { if (!it) log.retry(RetryOutcome.REFUSED) }

    /** True if the budget of [service] has more left than its reserve for retries after failures. */
    fun hasReserve(service: String, nowMs: Long): Boolean = budgetOf(service).hasLeft(nowMs, RESERVED_SHARE)

    /** Returns a retry to the budget of [service] that was withdrawn at [withdrawnAtMs] and not sent. */
    fun putBack(service: String, withdrawnAtMs: Long) {
        budgets[service] = budgetOf(service).returned(withdrawnAtMs)
        log.retry(RetryOutcome.RETURNED)
    }

    private fun updateLimits() {
        budgets.replaceAll { _, budget -> budget.withLimits(bounds.repeatRatio, slackShare()) }
    }

    private fun budgetOf(service: String): WindowedRetryBudget =
        budgets[service] ?: WindowedRetryBudget(bounds.repeatRatio, slackShare(), bounds.repeatWindowMs)

    private fun slackShare(): Double = bounds.repeatSlack / (processCount ?: ASSUMED_PROCESSES)

    private companion object {
        /** Processes that start at once don't know of one another yet, and must not each use the whole slack. */
        const val ASSUMED_PROCESSES = 16

        /** A late answer still comes, a failed one does not: retries after failures keep half of the budget. */
        const val RESERVED_SHARE = 0.5
    }
}

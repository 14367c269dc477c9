package org.medlarhook.serving.call

import org.medlarhook.core.serving.retry.WindowedRetryBudget
import org.medlarhook.serving.process.ServingBounds

/** Keeps this process's part of the retry budget of each service. Used on the event loop only. */
internal class RetryBudgets(
    private var bounds: ServingBounds,
    private val log: RequestLog,
) {
    private val budgets = HashMap<String, WindowedRetryBudget>()

    /** The number of serving processes among which the slack of each budget is divided. */
    var processCount = 1
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
        log.retry(isWithdrawn = left != null)
        budgets[service] = left ?: return false
        return true
    }

    private fun updateLimits() {
        budgets.replaceAll { _, budget -> budget.withLimits(bounds.repeatRatio, slackShare()) }
    }

    private fun budgetOf(service: String): WindowedRetryBudget =
        budgets[service] ?: WindowedRetryBudget(bounds.repeatRatio, slackShare(), bounds.repeatWindowMs)

    private fun slackShare(): Double = bounds.repeatSlack / processCount
}

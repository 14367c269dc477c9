package org.medlarhook.entry.routing

import org.medlarhook.core.call.CallRetryBudget
import org.medlarhook.core.retry.RetryBudget
import java.util.concurrent.atomic.AtomicReference

/** Bounds the retries of this entry to a share of its requests. Thread-safe. */
internal class RatioRetryBudget(
    ratio: Double,
) : CallRetryBudget {
    private val budget = AtomicReference(RetryBudget(ratio))

    override fun requested() {
        budget.updateAndGet { it.onRequest() }
    }

    override fun tryTake(nowMs: Long): Boolean {
        while (true) {
            val before = budget.get()
            val after = before.withdraw() ?: return false
            if (budget.compareAndSet(before, after)) return true
        }
    }
}

package org.medlarhook.entry.call

import org.medlarhook.core.call.CallRetryBudget
import org.medlarhook.core.retry.RetryBudget
import java.util.concurrent.atomic.AtomicReference

/** One retry budget for all requests of the entry, so that retries cannot multiply the load during a failure. */
internal class SharedRetryBudget(
    initial: RetryBudget,
) : CallRetryBudget {
    private val budget = AtomicReference(initial)

    override fun onRequest() {
        budget.updateAndGet { it.onRequest() }
    }

    override fun tryTake(nowMs: Long): Boolean {
        while (true) {
            val current = budget.get()
            val next = current.withdraw() ?: return false
            if (budget.compareAndSet(current, next)) return true
        }
    }
}

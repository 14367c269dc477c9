package org.medlarhook.entry.call

import org.medlarhook.core.call.CallRetryBudget
import org.medlarhook.core.retry.RetryBudget
import java.util.concurrent.atomic.AtomicReference

/** One retry budget for all requests of the entry, so that a failure does not multiply the load. */
internal class SharedRetryBudget(
    initial: RetryBudget,
) : CallRetryBudget {
    private val budget = AtomicReference(initial)

    override fun onRequest() {
        budget.updateAndGet { it.onRequest() }
    }

    override fun tryTake(nowMs: Long): Boolean {
        while (true) {
            val present = budget.get()
            val next = present.withdraw() ?: return false
            if (budget.compareAndSet(present, next)) return true
        }
    }
}

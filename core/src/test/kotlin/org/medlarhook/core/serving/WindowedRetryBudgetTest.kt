package org.medlarhook.core.serving

import org.medlarhook.core.serving.retry.WindowedRetryBudget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class WindowedRetryBudgetTest {
    private val empty = WindowedRetryBudget(ratio = 0.2, slack = 1.0, windowMs = 10_000)

    private fun WindowedRetryBudget.withRequests(count: Int, nowMs: Long) = (1..count).fold(this) { budget, _ ->
        budget.requested(nowMs)
    }

    @Test
    fun `Given ten requests, then two retries and the slack are granted`() {
        var budget: WindowedRetryBudget? = empty.withRequests(10, 0)
        var granted = 0
        while (true) budget = budget?.withdraw(100)?.also { granted++ } ?: break

        assertEquals(3, granted)
    }

    @Test
    fun `Given a window that has passed, then its requests allow no more retries`() {
        val spent = empty.withRequests(100, 0).withdraw(0)

        assertNotNull(spent?.withdraw(9_000))
        assertNotNull(spent.withdraw(20_000))
        assertNull(spent.withdraw(20_000)?.withdraw(20_000))
    }

    @Test
    fun `Given requests that are older than the window by less than a bucket, then they allow no retries`() {
        assertNull(empty.withRequests(100, 0).withdraw(10_100)?.withdraw(10_100))
    }

    @Test
    fun `Given retries over many windows, then no window has more of them than its limit`() {
        var budget = empty
        val grantedAtMs = ArrayList<Long>()
        for (nowMs in 0L..60_000L step 50) {
            budget = budget.requested(nowMs)
            budget.withdraw(nowMs)?.let {
                budget = it
                grantedAtMs += nowMs
            }
        }

        grantedAtMs.forEach { end -> assert(grantedAtMs.count { it in end - 9_999..end } <= 200 * 0.2 + 1 + 1) }
    }
}

package org.medlarhook.core.serving

import org.medlarhook.core.serving.retry.ArrivalCost
import org.medlarhook.core.serving.retry.RequestArrivals
import org.medlarhook.core.serving.retry.WindowedRetryBudget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class RequestArrivalsTest {
    private enum class Step(
        val isPrefill: Boolean,
        val isSent: Boolean = true,
        val isAccepted: Boolean = false,
    ) {
        RUN(isPrefill = false),
        RUN_NOT_SENT(isPrefill = false, isSent = false),
        PREFILL(isPrefill = true, isAccepted = true),
        PREFILL_REJECTED(isPrefill = true),
        PREFILL_NOT_SENT(isPrefill = true, isSent = false),
    }

    /** The retries that are withdrawn for [steps] and not returned. */
    private fun retriesOf(vararg steps: Step): Int {
        var arrivals = RequestArrivals()
        var retries = 0
        steps.forEach { step ->
            val cost = arrivals.costOf(step.isPrefill)
            val isReturned = !step.isSent || step.isAccepted && arrivals.returnsPrefill
            arrivals = arrivals.sent(cost)
            if (!step.isSent) arrivals = arrivals.notSent(cost)
            if (step.isAccepted) arrivals = arrivals.prefillAccepted(cost)
            if (cost == ArrivalCost.RETRY && !isReturned) retries++
        }
        return retries
    }

    @Test
    fun `Given a prefill and its decode, then there is no retry`() {
        assertEquals(0, retriesOf(Step.PREFILL, Step.RUN))
    }

    @Test
    fun `Given a second prefill and its decode after a decode, then both are retries`() {
        assertEquals(2, retriesOf(Step.PREFILL, Step.RUN, Step.PREFILL, Step.RUN))
    }

    @Test
    fun `Given a second prefill after a decode that was not sent, then it is a retry and its decode is the first`() {
        assertEquals(1, retriesOf(Step.PREFILL, Step.RUN_NOT_SENT, Step.PREFILL, Step.RUN))
    }

    @Test
    fun `Given a rejected prefill, then the run after it is a retry`() {
        assertEquals(1, retriesOf(Step.PREFILL_REJECTED, Step.RUN))
        assertEquals(2, retriesOf(Step.RUN, Step.PREFILL_REJECTED, Step.RUN))
    }

    @Test
    fun `Given a first prefill after a rejected run, then only the decode is a retry`() {
        assertEquals(1, retriesOf(Step.RUN, Step.PREFILL, Step.RUN))
    }

    @Test
    fun `Given attempts that were not sent, then the first that is sent is no retry`() {
        assertEquals(0, retriesOf(Step.PREFILL_NOT_SENT, Step.RUN_NOT_SENT, Step.RUN_NOT_SENT, Step.RUN))
    }

    @Test
    fun `Given a retry that was returned, then another one can be withdrawn`() {
        val spent = assertNotNull(WindowedRetryBudget(ratio = 0.2, slack = 1.0, windowMs = 10_000).withdraw(0))

        assertNull(spent.withdraw(100))
        assertNotNull(spent.returned(withdrawnAtMs = 0).withdraw(100))
    }
}

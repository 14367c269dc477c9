package org.medlarhook.serving.call

import org.medlarhook.core.serving.retry.ArrivalCost
import org.medlarhook.core.serving.retry.RequestArrivals

/** Pays for each arrival of one request at an upstream, before it is sent. */
internal class ArrivalAccount(
    private val budgets: RetryBudgets,
    private val record: ExchangeRecord,
) {
    private class Payment(
        val cost: ArrivalCost,
        val service: String,
        val atMs: Long,
    )

    private var arrivals = RequestArrivals()
    private var last: Payment? = null

    /** True if the request can be paid for once more. */
    fun canPay(service: String, nowMs: Long): Boolean {
        val canPay = arrivals.costOf(isPrefill = false) == ArrivalCost.NONE || budgets.allows(service, nowMs)
        if (!canPay) record.isRetryRefused = true
        return canPay
    }

    /** Pays for sending the request, or with [isPrefill] its prefill. Returns false if the budget is used up. */
    fun pay(service: String, isPrefill: Boolean, nowMs: Long): Boolean {
        val cost = arrivals.costOf(isPrefill)
        if (cost == ArrivalCost.RETRY && !budgets.withdraw(service, nowMs)) {
            record.isRetryRefused = true
            return false
        }
        if (cost == ArrivalCost.RETRY) record.retries++
        arrivals = arrivals.sent(cost)
        last = Payment(cost, service, nowMs)
        return true
    }

    /** Puts back what was paid last, because it was not sent. */
    fun notSent() {
        val payment = last ?: return
        arrivals = arrivals.notSent(payment.cost)
        putBack(payment)
    }

    /** Puts back what was paid for the prefill if it is the first that an upstream has accepted. */
    fun prefillAccepted() {
        val payment = last ?: return
        if (arrivals.returnsPrefill) putBack(payment)
        arrivals = arrivals.prefillAccepted(payment.cost)
    }

    private fun putBack(payment: Payment) {
        last = null
        if (payment.cost == ArrivalCost.NONE) return
        budgets.putBack(payment.service, payment.atMs)
        record.retries--
    }
}

package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.serving.crash.CrashSubject

/** Where one request was sent so far, and whether it may be sent again. */
internal class AttemptHistory(
    private val serving: ServingLoop,
) {
    private val triedIds = LinkedHashSet<String>()
    private var crashesMet = 0

    /** Upstreams that don't get the request again. */
    val tried: Set<String> get() = triedIds

    /** Attempts whose upstreams may have run the request. */
    var possibleRuns = 0
        private set

    /** Attempts that were begun, prefills excluded. */
    var attempts = 0
        private set

    /** True unless each upstream that was sent the request has stated that it did not run it. */
    val mayHaveRun: Boolean get() = possibleRuns > 0

    /** Excludes the upstreams with [ids] from later attempts. */
    fun exclude(ids: Collection<String>) {
        triedIds += ids
    }

    /** Counts an attempt at [upstream] that begins. */
    fun began(upstream: Upstream) {
        triedIds += upstream.id
        attempts++
    }

    /** Counts an attempt that was sent, so that its upstream may run the request. */
    fun sent() {
        possibleRuns++
    }

    /** Takes back an attempt whose upstream has stated that it did not run the request. */
    fun notRun() {
        possibleRuns--
    }

    /** Counts an upstream that broke off its answer. */
    fun crashed() {
        crashesMet++
    }

    /** True if an attempt that was not sent may be followed by another one. */
    val mayBeginAnother: Boolean get() = attempts < MAX_ATTEMPTS

    /** True if the route of [demand] allows one more upstream to run the request. */
    fun mayRunOnceMore(demand: Demand): Boolean = possibleRuns < demand.route.maxAttempts && mayBeginAnother

    /** True if the request may be retried at [nowMs], paid from [account]. */
    fun mayRetry(demand: Demand, subject: CrashSubject, account: ArrivalAccount, nowMs: Long): Boolean =
        mayRunOnceMore(demand) &&
            demand.deadlineAtMs - nowMs > MIN_RETRY_MS &&
            serving.endsBeforeShutdown(demand, nowMs) &&
            !serving.crashes.forbidsRetry(subject, crashesMet) &&
            serving.hasUntriedUpstream(demand, triedIds, nowMs) &&
            account.canPay(demand.service, nowMs)

    private companion object {
        /** Limits the upstreams to which one request is sent, including those that did not run it. */
        const val MAX_ATTEMPTS = 4

        /** With less time left, no upstream would answer a retry before the deadline. */
        const val MIN_RETRY_MS = 50L
    }
}

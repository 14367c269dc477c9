package org.medlarhook.serving.call

import io.netty.buffer.Unpooled
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.serving.config.CallKind
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.resume.StreamOrigin
import org.medlarhook.serving.crash.CrashSubject
import org.medlarhook.serving.upstream.AttemptFailure
import org.medlarhook.serving.upstream.AttemptHandle
import org.medlarhook.serving.upstream.BodyFraming
import org.medlarhook.serving.upstream.ConnectionPosition
import org.medlarhook.serving.upstream.RequestPermits
import java.util.concurrent.Future

/**
 * Serves one request of a caller from its arrival to its final answer. Runs on the event loop only.
 *
 * A request that may have run is sent again only if its route allows it. A refusal by this process says "not run"
 * only if no upstream can have begun to run the request.
 */
internal class Exchange(
    private val serving: ServingLoop,
    val call: CallerCall,
    private val caller: Caller,
    requestOnConnection: Int,
    private val arrivedAtMs: Long,
    private val onDone: () -> Unit,
) {
    private lateinit var demand: Demand
    private lateinit var crashSubject: CrashSubject
    private var handle: AttemptHandle? = null
    private var relay: Relay? = null
    private var deadline: Future<*>? = null
    private val tried = LinkedHashSet<String>()
    private var attemptsSent = 0
    private var crashesMet = 0
    private var possibleRuns = 0
    private var mayHaveRun = false
    private var hasRunStarted = false
    private var placed: Placement.Chosen? = null
    private var placedAtMs = 0L
    private lateinit var permits: RequestPermits
    private var isDone = false
    private val record = serving.nowMs().let { nowMs ->
        ExchangeRecord(call, nowMs, requestOnConnection, serving.shutdown?.let { nowMs - it.startedAtMs })
    }

    /** True if the request may run more than once. */
    val mayRunAgain: Boolean get() = demand.route.mayRunAgain

    private val account = ArrivalAccount(serving.retryBudgets, record)

    /** Admits and places the request, or refuses it. */
    fun start() {
        when (val admission = serving.admit(call, arrivedAtMs)) {
            is Admission.Refused -> refuse(admission.code, admission.retryAfterMs)
            is Admission.Admitted -> {
                demand = admission.demand
                crashSubject = CrashSubject(call, demand)
                record.demand = demand
                deadline = serving.schedule(demand.deadlineAtMs) { onDeadline() }
                caller.afterReads { begin() }
            }
        }
    }

    /** Begins the request, unless the loop was so late that its caller has left in the meantime. */
    private fun begin() {
        if (!caller.isConnected) callerDisconnected()
        if (!isDone) serving.origins.find(call, demand) { originFound(it) }
    }

    private fun originFound(origin: StreamOrigin) {
        if (isDone) return
        demand = serving.withOrigin(demand, origin)
        record.demand = demand
        if (origin == StreamOrigin.Unknown) {
            refuse(ResultCode.STREAM_ORIGIN_UNKNOWN, RETRY_ELSEWHERE_MS)
        } else {
            place()
        }
    }

    /** Ends the exchange after the caller has closed its connection. A non-idempotent call goes on at the upstream. */
    fun callerDisconnected() {
        if (isDone) return
        if (handle != null && ::demand.isInitialized && demand.route.kind == CallKind.NON_IDEMPOTENT) {
            record.isOrphaned = true
        } else {
            handle?.abandon()
            relay?.release()
            relay = null
        }
        finish(Outcome.CallerDisconnected)
    }

    /** Gives the caller its final answer at the end of a graceful shutdown, or resets a stream that has begun. */
    fun cutOffAtShutdown() {
        if (isDone) return
        handle?.abandon()
        val code =
            when {
                relay?.hasBegun == true -> null
                !mayHaveRun -> ResultCode.DRAINING
                demand.route.mayRunAgain -> ResultCode.UPSTREAM_FAILED
                else -> ResultCode.OUTCOME_UNKNOWN
            }
        if (code == null) caller.abort() else answer(code, null)
        finish(Outcome.CutOffAtShutdown(code))
    }

    /** Pauses reading from the upstream while the connection to the caller is not writable. */
    fun callerWritable(isWritable: Boolean) {
        handle?.setReading(isWritable)
    }

    private fun place(hasWaited: Boolean = false) {
        val nowMs = serving.nowMs()
        serving.crashes.refusalOf(crashSubject)?.let { return refuseQuarantined(it, nowMs) }
        when (val placement = serving.place(demand, tried, hasWaited, nowMs).also(record::placed)) {
            is Placement.Chosen -> dispatch(placement, nowMs)
            is Placement.NoCapacity -> refuseIfNotRun(
                ResultCode.DEADLINE_UNREACHABLE,
                serving.retryAfterMs(demand, placement, nowMs),
            )
            is Placement.AllClosed -> awaitReopening(placement, nowMs)
            is Placement.NoUpstream -> refuseIfNotRun(
                ResultCode.NO_UPSTREAM,
                serving.retryAfterMs(demand, placement, nowMs),
            )
        }
    }

    /** A retry before the caller's deadline is most useful at its end, when the quarantine may have been lifted. */
    private fun refuseQuarantined(code: ResultCode, nowMs: Long) {
        val retryAfterMs = serving.retryAfterMs(demand, Placement.AllClosed(Long.MAX_VALUE), nowMs)
        refuseIfNotRun(code, retryAfterMs)
    }

    /** Places the request again once an upstream opens, or refuses it at once if that is too late. */
    private fun awaitReopening(placement: Placement.AllClosed, nowMs: Long) {
        handle = null
        val isAwaited = serving.awaitReopening(demand, placement, nowMs) { if (!isDone) place(hasWaited = true) }
        if (!isAwaited) refuseIfNotRun(ResultCode.NO_UPSTREAM, serving.retryAfterMs(demand, placement, nowMs))
    }

    /** Sends the request, or refuses it if that would be a retry and the budget has none left. */
    private fun dispatch(chosen: Placement.Chosen, nowMs: Long) {
        if (!account.pay(demand.service, isPrefill = chosen.prefill != null, nowMs)) return refuseRetry()
        placed = chosen
        placedAtMs = nowMs
        permits = serving.newPermits(crashSubject)
        listOfNotNull(chosen.prefill, chosen.upstream).forEach { permits.claim(it) }
        if (chosen.prefill == null) send(chosen, AttemptStep.Whole, nowMs) else prefill(chosen, chosen.prefill!!, nowMs)
    }

    /**
     * Sends the prefill to [prefillUpstream]. It does not count as a run of the request. Later attempts send the
     * request whole, because a second prefill and its decode would be two retries.
     */
    private fun prefill(chosen: Placement.Chosen, prefillUpstream: Upstream, nowMs: Long) {
        tried += serving.prefillUpstreamIds(demand)
        record.prefillSent(chosen, nowMs)
        val request = serving.format.upstreamRequest(call, prefillUpstream, options(chosen, AttemptStep.Prefill, nowMs))
        val attempt = PrefillAttempt(this, serving, demand, chosen, nowMs)
        handle = serving.pool.send(prefillUpstream, call.attemptId, request, mayRunAgain = true, permits, attempt)
    }

    /** Records that the prefill was sent at [position]. */
    fun prefillSent(position: ConnectionPosition) = record.arrived(position)

    /** Records the head of an answer, whatever is concluded from it. */
    fun headReceived(head: UpstreamHead, framing: BodyFraming) = record.answered(head, framing)

    /** Starts the decode, after a prefill whose cache is kept under [cacheHandle]. */
    fun prefillDone(chosen: Placement.Chosen, cacheHandle: String) {
        account.prefillAccepted()
        if (isDone) return serving.releaseCache(chosen.prefill!!, cacheHandle)
        if (!permits.claim(chosen.upstream)) {
            serving.releaseCache(chosen.prefill!!, cacheHandle)
            return prefillFailed("decode_not_accepted")
        }
        val nowMs = serving.nowMs()
        if (!account.pay(demand.service, isPrefill = false, nowMs)) {
            serving.releaseCache(chosen.prefill!!, cacheHandle)
            return refuseRetry()
        }
        send(chosen, AttemptStep.Decode(chosen.prefill!!.address, cacheHandle), nowMs)
    }

    /** Abandons the attempt that runs, so that its upstream stops. */
    fun abandonAttempt() {
        handle?.abandon()
    }

    /** Places the request again without a separate prefill, after the prefill has failed. */
    fun prefillFailed(reason: String, wasSent: Boolean = true) {
        record.failed(reason)
        if (!wasSent) account.notSent()
        if (isDone) return
        placeAgain()
    }

    private fun options(chosen: Placement.Chosen, step: AttemptStep, nowMs: Long): AttemptOptions =
        AttemptOptions(
            remainingMs = (demand.deadlineAtMs - nowMs).coerceAtLeast(1),
            workspace = demand.workspace,
            priority = demand.priority.takeIf { demand.generation != null },
            resumeAfterEventId = relay?.lastEventId,
            step = step,
            prefixSource = chosen.prefix?.source?.address.takeIf { step !is AttemptStep.Decode },
        )

    /** Sends the request, or only its decode, to the chosen upstream. */
    private fun send(chosen: Placement.Chosen, step: AttemptStep, nowMs: Long) {
        tried += chosen.upstream.id
        attemptsSent++
        record.sent(chosen, nowMs)
        val request = serving.format.upstreamRequest(call, chosen.upstream, options(chosen, step, nowMs))
        val next = relay?.takeIf { it.hasBegun } ?: newRelay()
        relay = next
        val tracker = AttemptTracker(serving, demand, chosen, nowMs, chosen.upstream) { runStarted() }
        val attempt = Attempt(this, next, tracker)
        handle = serving.pool.send(chosen.upstream, call.attemptId, request, demand.route.mayRunAgain, permits, attempt)
        attempt.handle = handle
    }

    private fun newRelay(): Relay {
        relay?.release()
        return Relay(serving.format, caller, serving.answerBuffers)
    }

    /** Records that the request was sent at [position], so that the upstream may run it from now on. */
    fun attemptSent(position: ConnectionPosition) {
        record.arrived(position)
        mayHaveRun = true
        possibleRuns++
    }

    /** Records that an event has reached the caller: from now on only the same software version may go on. */
    fun eventsDelivered() {
        if (demand.origin != StreamOrigin.NotBegun) return
        demand = demand.copy(origin = StreamOrigin.of(placed?.upstream))
        serving.origins.began(call, demand, demand.origin)
    }

    private fun runStarted() {
        if (hasRunStarted) return
        hasRunStarted = true
        if (demand.generation != null) record.firstEventMs = serving.nowMs() - record.arrivedAtMs
        recordPredictionError()
        serving.countRun(demand)
    }

    private fun recordPredictionError() {
        val chosen = placed?.takeIf { demand.generation != null } ?: return
        serving.firstEventObserved(demand.service, chosen.firstEventMs, (serving.nowMs() - placedAtMs).toDouble())
    }

    /** Retries the request after an upstream has stated that it has not run it, or refuses the request. */
    fun attemptNotRun(isMisdirected: Boolean) {
        possibleRuns--
        mayHaveRun = possibleRuns > 0
        record.failed("not_run")
        if (isDone) return
        if (isMisdirected) serving.closeIdleConnections(tried.last())
        retryOr { refuseIfNotRun(ResultCode.NO_UPSTREAM, serving.busyRetryAfterMs(demand)) }
    }

    /** Records that [upstream] closed the connection before its answer was complete. */
    fun connectionLost(upstream: Upstream) {
        crashesMet++
        record.fingerprint = crashSubject.request.id
        serving.crashes.connectionLost(crashSubject, upstream)
    }

    /** Records that an upstream has answered in full, so that it did not crash under the request. */
    fun answerCompleted() = serving.crashes.answered(crashSubject)

    /** Handles an attempt without a complete answer: retries it if it was not sent or its route allows a second run. */
    fun attemptFailed(reason: AttemptFailure, wasSent: Boolean) {
        record.failed(reason.name.lowercase())
        if (!wasSent) account.notSent()
        if (isDone) return
        when {
            !wasSent && attemptsSent < MAX_ATTEMPTS_SENT -> placeAgain()
            !wasSent -> refuseIfNotRun(ResultCode.NO_UPSTREAM, serving.busyRetryAfterMs(demand))
            demand.route.mayRunAgain && relay?.canResume != false -> retryOr { failIncomplete() }
            else -> failIncomplete()
        }
    }

    /** Retries an idempotent request after a server error; returns false if it may not be retried. */
    fun retryOnServerError(): Boolean {
        if (isDone || demand.route.kind != CallKind.IDEMPOTENT || !mayRetry()) return false
        record.failed("upstream_error")
        place()
        return true
    }

    /** Ends the exchange after the answer was delivered. */
    fun answered(status: Int) = finish(Outcome.Answered(status))

    private fun retryOr(onNoRetry: () -> Unit) {
        if (mayRetry()) place() else onNoRetry()
    }

    /** Places the request again, or refuses it if a graceful shutdown may end before its answer. */
    private fun placeAgain() {
        if (serving.endsBeforeShutdown(demand, serving.nowMs())) {
            place()
        } else {
            refuseIfNotRun(ResultCode.DRAINING, serving.busyRetryAfterMs(demand))
        }
    }

    private fun mayRetry(): Boolean {
        val nowMs = serving.nowMs()
        return possibleRuns < demand.route.maxAttempts &&
            attemptsSent < MAX_ATTEMPTS_SENT &&
            demand.deadlineAtMs - nowMs > MIN_RETRY_MS &&
            serving.endsBeforeShutdown(demand, nowMs) &&
            !serving.crashes.forbidsRetry(crashSubject, crashesMet) &&
            serving.hasUntriedUpstream(demand, tried, nowMs) &&
            account.canPay(demand.service, nowMs)
    }

    private fun refuseRetry() = refuseIfNotRun(ResultCode.NO_UPSTREAM, serving.busyRetryAfterMs(demand))

    /** Refuses the request with [code] if no upstream can have begun it, or ends it as one that may have run. */
    private fun refuseIfNotRun(code: ResultCode, retryAfterMs: Long?) {
        if (mayHaveRun || relay?.hasBegun == true) failIncomplete() else refuse(code, retryAfterMs)
    }

    /** Ends a request that may have run and has no complete answer: aborts a begun stream, or answers with an error. */
    private fun failIncomplete() {
        if (relay?.hasBegun == true) {
            caller.abort()
            finish(Outcome.Broken)
        } else {
            refuse(if (demand.route.mayRunAgain) ResultCode.UPSTREAM_FAILED else ResultCode.OUTCOME_UNKNOWN, null)
        }
    }

    private fun onDeadline() {
        if (isDone) return
        handle?.abandon()
        if (mayHaveRun) serving.closeIdleConnections(tried.last())
        if (!hasRunStarted) recordPredictionError()
        when {
            relay?.hasBegun == true -> failIncomplete()
            mayHaveRun -> refuse(ResultCode.DEADLINE_EXCEEDED, null)
            else -> refuse(ResultCode.DEADLINE_UNREACHABLE, 0)
        }
    }

    private fun refuse(code: ResultCode, retryAfterMs: Long?) {
        answer(code, retryAfterMs)
        finish(Outcome.Refused(code))
    }

    private fun answer(code: ResultCode, retryAfterMs: Long?) {
        val headers = serving.format.ownHeaders(call, retryAfterMs)
        val text = Unpooled.copiedBuffer("${code.number} ${code.title}\n", Charsets.UTF_8)
        record.retryAfterMs = retryAfterMs
        caller.answer(code.httpStatus, headers, text)
    }

    private fun finish(outcome: Outcome) {
        if (isDone) return
        isDone = true
        deadline?.cancel(false)
        if (record.isOrphaned) endOrphanAtDeadline() else relay?.release()
        call.body.release()
        serving.finished(record, outcome)
        onDone()
    }

    /** A call that goes on without its caller ends at its deadline, like any other. */
    private fun endOrphanAtDeadline() {
        crashSubject.readBody()
        serving.schedule(demand.deadlineAtMs) {
            handle?.abandon()
            relay?.release()
        }
    }

    private companion object {
        /** Limits the upstreams to which one request is sent, including those that did not run it. */
        const val MAX_ATTEMPTS_SENT = 4

        const val RETRY_ELSEWHERE_MS = 100L

        /** With less time left, no upstream would answer a retry before the deadline. */
        const val MIN_RETRY_MS = 50L
    }
}

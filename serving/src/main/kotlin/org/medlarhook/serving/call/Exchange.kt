package org.medlarhook.serving.call

import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.serving.config.CallKind
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.resume.StreamOrigin
import org.medlarhook.serving.crash.CrashSubject
import org.medlarhook.serving.second.AttemptRace
import org.medlarhook.serving.second.RacingExchange
import org.medlarhook.serving.upstream.AttemptFailure
import org.medlarhook.serving.upstream.AttemptHandle
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
) : RacingExchange {
    private lateinit var demand: Demand
    private lateinit var crashSubject: CrashSubject
    private var handle: AttemptHandle? = null
    private var leading: Attempt? = null
    private var relay: Relay? = null
    private var deadline: Future<*>? = null
    private val history = AttemptHistory(serving)
    private var hasRunStarted = false
    private var dispatch: Dispatch? = null
    private var isDone = false
    private val record = serving.nowMs().let { nowMs ->
        ExchangeRecord(call, nowMs, requestOnConnection, serving.shutdown?.let { nowMs - it.startedAtMs })
    }

    /** True if the request may run more than once. */
    val mayRunAgain: Boolean get() = demand.route.mayRunAgain

    private val account = ArrivalAccount(serving.retryBudgets, record)
    private val sender = AttemptSender(serving, this, call, caller, history, record)
    private val race = AttemptRace(serving, this, record)
    private val ownAnswers = OwnAnswers(serving.format, call, caller, record)

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
                !history.mayHaveRun -> ResultCode.DRAINING
                demand.route.mayRunAgain -> ResultCode.UPSTREAM_FAILED
                else -> ResultCode.OUTCOME_UNKNOWN
            }
        if (code == null) caller.abort() else ownAnswers.answer(code, null)
        finish(Outcome.CutOffAtShutdown(code))
    }

    /** Pauses reading from the upstream while the connection to the caller is not writable. */
    fun callerWritable(isWritable: Boolean) {
        handle?.setReading(isWritable)
    }

    private fun place(hasWaited: Boolean = false) {
        val nowMs = serving.nowMs()
        serving.crashes.refusalOf(crashSubject)?.let { return refuseQuarantined(it, nowMs) }
        when (val placement = serving.place(demand, history.tried, hasWaited, nowMs).also(record::placed)) {
            is Placement.Chosen -> dispatch(placement, nowMs)
            is Placement.NoCapacity -> {
                serving.secondAttempts.shed(demand.service, nowMs)
                refuseIfNotRun(ResultCode.DEADLINE_UNREACHABLE, serving.retryAfterMs(demand, placement, nowMs))
            }
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
        val next = sender.newDispatch(crashSubject, chosen, nowMs)
        dispatch = next
        if (chosen.prefill == null) send(next, AttemptStep.Whole, nowMs) else prefill(next, chosen.prefill!!, nowMs)
    }

    /**
     * Sends the prefill to [prefillUpstream]. It does not count as a run of the request. Later attempts send the
     * request whole, because a second prefill and its decode would be two retries.
     */
    private fun prefill(dispatch: Dispatch, prefillUpstream: Upstream, nowMs: Long) {
        history.exclude(serving.prefillUpstreamIds(demand))
        handle = sender.sendPrefill(demand, dispatch, prefillUpstream, nowMs, relay?.lastEventId)
    }

    /** Starts the decode, after a prefill whose cache is kept under [cacheHandle]. */
    fun prefillDone(attempt: PrefillAttempt, chosen: Placement.Chosen, cacheHandle: String) {
        account.prefillAccepted()
        val current = dispatch
        if (isDone || current == null) return serving.cacheReleases.release(chosen.prefill!!, cacheHandle)
        if (!current.permits.claim(chosen.upstream)) {
            serving.cacheReleases.release(chosen.prefill!!, cacheHandle)
            return prefillFailed(attempt, "decode_not_accepted")
        }
        val nowMs = serving.nowMs()
        if (!account.pay(demand.service, isPrefill = false, nowMs)) {
            serving.cacheReleases.release(chosen.prefill!!, cacheHandle)
            return refuseRetry()
        }
        send(current, AttemptStep.Decode(chosen.prefill!!.address, cacheHandle), nowMs)
    }

    /** Abandons the attempt that runs, so that its upstream stops. */
    fun abandonAttempt() {
        handle?.abandon()
    }

    /** Places the request again without a separate prefill, after the prefill has failed. */
    fun prefillFailed(attempt: PrefillAttempt, reason: String, wasSent: Boolean = true) {
        attempt.record.failed(reason)
        if (!wasSent) account.notSent()
        if (isDone) return
        placeAgain()
    }

    /** Sends the request, or only its decode, to the chosen upstream. */
    private fun send(dispatch: Dispatch, step: AttemptStep, nowMs: Long) {
        val next = relay?.takeIf { it.hasBegun } ?: sender.newRelay().also { relay?.release() }
        relay = next
        serving.secondAttempts.sent(demand, dispatch.chosen, nowMs)
        val attempt = sender.newAttempt(demand, dispatch, next, nowMs) { runStarted(dispatch) }
        leading = attempt
        handle = sender.send(demand, attempt, step, nowMs)
    }

    override val attemptId: String? get() = call.attemptId

    /** Only a request that was sent once, and whole, has a second attempt; a stream that is resumed has none. */
    override fun mayHaveSecond(attempt: Attempt): Boolean =
        mayRunAgain &&
            history.attempts == 1 &&
            attempt.dispatch.chosen.prefill == null &&
            call.lastEventId == null &&
            demand.origin == StreamOrigin.NotBegun

    override fun isWaitingFor(attempt: Attempt): Boolean = !isDone && leading === attempt && !attempt.isAnswering

    override fun placeSecond(nowMs: Long): Placement? {
        val isForbidden = serving.crashes.forbidsRetry(crashSubject, crashesMet = Int.MAX_VALUE)
        if (isForbidden || serving.shutdown != null || !history.mayRunOnceMore(demand)) return null
        return serving.place(demand, history.tried + serving.prefillUpstreamIds(demand), hasWaited = false, nowMs)
    }

    override fun hasReserve(nowMs: Long): Boolean = serving.retryBudgets.hasReserve(demand.service, nowMs)

    override fun newSecond(chosen: Placement.Chosen, nowMs: Long): Attempt? {
        if (!account.pay(demand.service, isPrefill = false, nowMs)) return null
        val dispatch = sender.newDispatch(crashSubject, chosen, nowMs)
        return sender.newAttempt(demand, dispatch, sender.newRelay(), nowMs) { runStarted(dispatch) }
    }

    override fun transmit(attempt: Attempt, nowMs: Long) {
        sender.send(demand, attempt, AttemptStep.Whole, nowMs)
    }

    override fun lead(attempt: Attempt) {
        relay?.release()
        relay = attempt.relay
        handle = attempt.handle
        dispatch = attempt.dispatch
        leading = attempt
    }

    /** Records that [attempt] was sent, so that its upstream may run the request from now on. */
    fun attemptSent(attempt: Attempt) {
        history.sent()
        race.sent(attempt, demand)
    }

    /** Records that an event of [attempt] has reached the caller: only the same software version may go on. */
    fun eventsDelivered(attempt: Attempt) {
        race.delivers(attempt)
        if (demand.origin != StreamOrigin.NotBegun) return
        demand = demand.copy(origin = StreamOrigin.of(attempt.dispatch.chosen.upstream))
        serving.origins.began(call, demand, demand.origin)
    }

    private fun runStarted(dispatch: Dispatch) {
        if (hasRunStarted) return
        hasRunStarted = true
        if (demand.generation != null) record.firstEventMs = serving.nowMs() - record.arrivedAtMs
        recordPredictionError(dispatch)
        serving.countRun(demand)
    }

    private fun recordPredictionError(dispatch: Dispatch?) {
        if (dispatch == null || demand.generation == null) return
        val observedMs = (serving.nowMs() - dispatch.atMs).toDouble()
        serving.firstEventObserved(demand.service, dispatch.chosen.firstEventMs, observedMs)
    }

    /** Retries the request after an upstream has stated that it has not run it, or refuses the request. */
    fun attemptNotRun(attempt: Attempt, isMisdirected: Boolean) {
        history.notRun()
        attempt.record.failed("not_run")
        serving.secondAttempts.shed(demand.service, serving.nowMs())
        if (isDone) return
        if (isMisdirected) serving.closeIdleConnections(attempt.dispatch.chosen.upstream.id)
        if (race.goesOnWithout(attempt)) return
        retryOr { refuseIfNotRun(ResultCode.NO_UPSTREAM, serving.busyRetryAfterMs(demand)) }
    }

    /** Records that [upstream] closed the connection before its answer was complete. */
    fun connectionLost(upstream: Upstream) {
        history.crashed()
        record.fingerprint = crashSubject.request.id
        serving.crashes.connectionLost(crashSubject, upstream)
    }

    /** Records that an upstream has answered in full, so that it did not crash under the request. */
    fun answerCompleted() = serving.crashes.answered(crashSubject)

    /** Handles an attempt without a complete answer: retries it if it was not sent or its route allows a second run. */
    fun attemptFailed(attempt: Attempt, reason: AttemptFailure, wasSent: Boolean) {
        attempt.record.failed(reason.name.lowercase())
        if (!wasSent) account.notSent()
        if (isDone || race.goesOnWithout(attempt)) return
        when {
            !wasSent && history.mayBeginAnother -> placeAgain()
            !wasSent -> refuseIfNotRun(ResultCode.NO_UPSTREAM, serving.busyRetryAfterMs(demand))
            demand.route.mayRunAgain && relay?.canResume != false -> retryOr { failIncomplete() }
            else -> failIncomplete()
        }
    }

    /** Retries an idempotent request after a server error; returns false if it may not be retried. */
    fun retryOnServerError(attempt: Attempt): Boolean {
        val isRetried = !isDone && demand.route.kind == CallKind.IDEMPOTENT
        val goesOn = race.goesOnWithout(attempt)
        if (!goesOn && !(isRetried && mayRetry())) return false
        attempt.record.failed("upstream_error")
        if (!goesOn) place()
        return true
    }

    /** Ends the exchange after the answer of [attempt] was delivered. */
    fun answered(attempt: Attempt, status: Int) {
        race.delivers(attempt)
        finish(Outcome.Answered(status))
    }

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

    private fun mayRetry(): Boolean = history.mayRetry(demand, crashSubject, account, serving.nowMs())

    private fun refuseRetry() = refuseIfNotRun(ResultCode.NO_UPSTREAM, serving.busyRetryAfterMs(demand))

    /** Refuses the request with [code] if no upstream can have begun it, or ends it as one that may have run. */
    private fun refuseIfNotRun(code: ResultCode, retryAfterMs: Long?) {
        if (history.mayHaveRun || relay?.hasBegun == true) failIncomplete() else refuse(code, retryAfterMs)
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
        if (history.mayHaveRun) serving.closeIdleConnections(history.tried.last())
        if (!hasRunStarted) recordPredictionError(dispatch)
        when {
            relay?.hasBegun == true -> failIncomplete()
            history.mayHaveRun -> refuse(ResultCode.DEADLINE_EXCEEDED, null)
            else -> refuse(ResultCode.DEADLINE_UNREACHABLE, 0)
        }
    }

    private fun refuse(code: ResultCode, retryAfterMs: Long?) {
        ownAnswers.answer(code, retryAfterMs)
        finish(Outcome.Refused(code))
    }

    private fun finish(outcome: Outcome) {
        if (isDone) return
        isDone = true
        deadline?.cancel(false)
        race.end(outcome, leading)
        if (record.isOrphaned) endOrphanAtDeadline() else relay?.release()
        call.body.release()
        serving.finished(record, outcome, history.possibleRuns)
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
        const val RETRY_ELSEWHERE_MS = 100L
    }
}

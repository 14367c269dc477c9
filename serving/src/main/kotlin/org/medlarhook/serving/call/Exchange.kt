package org.medlarhook.serving.call

import io.netty.buffer.Unpooled
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.serving.config.CallKind
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.serving.upstream.AttemptFailure
import org.medlarhook.serving.upstream.AttemptHandle
import java.util.concurrent.Future

/**
 * One request of a caller from its arrival to its final answer. Runs on the event loop only.
 *
 * What may have run is sent again only if its route allows it. An answer of the system's own says "not run" only
 * while no upstream can have begun the request.
 */
internal class Exchange(
    private val serving: ServingLoop,
    val call: CallerCall,
    private val caller: Caller,
    private val onDone: () -> Unit,
) {
    private lateinit var demand: Demand
    private var handle: AttemptHandle? = null
    private var relay: Relay? = null
    private var deadline: Future<*>? = null
    private val tried = LinkedHashSet<String>()
    private var sends = 0
    private var runs = 0
    private var mayHaveRun = false
    private var hasBegunToRun = false
    private var placed: Placement.Chosen? = null
    private var placedAtMs = 0L
    private var isDone = false
    private val record = ExchangeRecord(call, serving.nowMs())

    /** Begins to serve the request. */
    fun start() {
        when (val admission = serving.admit(call)) {
            is Admission.Rejected -> reject(admission.code, admission.retryAfterMs)
            is Admission.Admitted -> {
                demand = admission.demand
                record.demand = demand
                deadline = serving.schedule(demand.deadlineAtMs) { onDeadline() }
                place()
            }
        }
    }

    /** The caller has closed its connection. */
    fun callerLeft() {
        if (isDone) return
        if (handle != null && ::demand.isInitialized && demand.route.kind == CallKind.NON_IDEMPOTENT) {
            record.isOrphaned = true
        } else {
            handle?.abandon()
            relay?.release()
            relay = null
        }
        finish(Outcome.Left)
    }

    /** The caller reads again, or no longer. */
    fun callerWritable(isWritable: Boolean) {
        handle?.setReading(isWritable)
    }

    private fun place() {
        val nowMs = serving.nowMs()
        when (val placement = serving.place(demand, tried, nowMs)) {
            is Placement.Chosen -> send(placement, nowMs)
            is Placement.NoCapacity -> giveUp(
                ResultCode.DEADLINE_UNREACHABLE,
                serving.retryAfterMs(demand, placement, nowMs),
            )
            is Placement.NoUpstream -> giveUp(ResultCode.NO_UPSTREAM, serving.retryAfterMs(demand, placement, nowMs))
        }
    }

    private fun send(chosen: Placement.Chosen, nowMs: Long) {
        placed = chosen
        placedAtMs = nowMs
        if (chosen.prefill == null) write(chosen, AttemptStep.Whole, nowMs) else read(chosen, chosen.prefill!!, nowMs)
    }

    /** Has the prompt read at [reader]; that is no run. */
    private fun read(chosen: Placement.Chosen, reader: Upstream, nowMs: Long) {
        tried += reader.id
        record.reading(chosen, nowMs)
        val request = serving.format.upstreamRequest(call, reader, options(AttemptStep.Prefill, nowMs))
        val attempt = PromptAttempt(this, serving, demand, chosen, nowMs)
        handle = serving.pool.send(reader, call.attemptId, request, mayRepeat = true, attempt)
    }

    /** The prompt is read and kept as [cacheHandle]. */
    fun promptRead(chosen: Placement.Chosen, cacheHandle: String) {
        if (isDone) return serving.release(chosen.prefill!!, cacheHandle)
        write(chosen, AttemptStep.Decode(chosen.prefill!!.address, cacheHandle), serving.nowMs())
    }

    /** The prompt could not be read apart: it is read where it is answered. */
    fun promptNotRead(reason: String) {
        record.failed(reason)
        if (isDone) return
        tried += serving.readers(demand)
        place()
    }

    private fun options(step: AttemptStep, nowMs: Long): AttemptOptions =
        AttemptOptions(
            remainingMs = (demand.deadlineAtMs - nowMs).coerceAtLeast(1),
            workspace = demand.workspace,
            priority = demand.priority.takeIf { demand.generation != null },
            resumeAfterEventId = relay?.lastEventId,
            step = step,
        )

    private fun write(chosen: Placement.Chosen, step: AttemptStep, nowMs: Long) {
        tried += chosen.upstream.id
        sends++
        record.sent(chosen, nowMs)
        val request = serving.format.upstreamRequest(call, chosen.upstream, options(step, nowMs))
        val next = relay?.takeIf { it.hasBegun } ?: newRelay()
        relay = next
        val tracker = AttemptTracker(serving, demand, chosen, nowMs, chosen.upstream) { began() }
        val attempt = Attempt(this, next, tracker)
        handle = serving.pool.send(chosen.upstream, call.attemptId, request, demand.route.mayRunAgain, attempt)
        attempt.handle = handle
    }

    private fun newRelay(): Relay {
        relay?.release()
        return Relay(serving.format, caller)
    }

    /** The upstream may run the request from now on. */
    fun attemptSent() {
        mayHaveRun = true
        runs++
    }

    private fun began() {
        if (hasBegunToRun) return
        hasBegunToRun = true
        comparePrediction()
        serving.began(demand)
    }

    private fun comparePrediction() {
        val chosen = placed?.takeIf { demand.generation != null } ?: return
        serving.firstEventSeen(demand.service, chosen.firstEventMs, (serving.nowMs() - placedAtMs).toDouble())
    }

    /** The upstream states that it has not run the request. */
    fun attemptNotRun(isMisdirected: Boolean) {
        runs--
        mayHaveRun = runs > 0
        record.failed("not_run")
        if (isMisdirected) serving.distrustConnections(tried.last())
        retryOr { giveUp(ResultCode.NO_UPSTREAM, serving.busyRetryAfterMs(demand)) }
    }

    /** The attempt has brought no whole answer. */
    fun attemptFailed(reason: AttemptFailure, wasSent: Boolean) {
        record.failed(reason.name.lowercase())
        when {
            !wasSent && sends < MAX_SENDS -> place()
            !wasSent -> giveUp(ResultCode.NO_UPSTREAM, serving.busyRetryAfterMs(demand))
            demand.route.mayRunAgain && relay?.mayContinue != false -> retryOr { lose() }
            else -> lose()
        }
    }

    /** The upstream has answered with a failure of its own; returns true if the request is sent elsewhere. */
    fun retryAfterError(): Boolean {
        if (demand.route.kind != CallKind.IDEMPOTENT || !mayRepeat()) return false
        record.failed("upstream_error")
        place()
        return true
    }

    /** The answer is delivered. */
    fun answered(status: Int) = finish(Outcome.Answered(status))

    private fun retryOr(otherwise: () -> Unit) {
        if (mayRepeat()) place() else otherwise()
    }

    private fun mayRepeat(): Boolean {
        val nowMs = serving.nowMs()
        return runs < demand.route.maxAttempts &&
            sends < MAX_SENDS &&
            demand.deadlineAtMs - nowMs > MIN_REPEAT_MS &&
            serving.hasAnother(demand, tried) &&
            serving.withdrawRepeat(demand.service, nowMs)
    }

    private fun giveUp(code: ResultCode, retryAfterMs: Long?) {
        if (mayHaveRun || relay?.hasBegun == true) lose() else reject(code, retryAfterMs)
    }

    private fun lose() {
        if (relay?.hasBegun == true) {
            caller.breakOff()
            finish(Outcome.Broken)
        } else {
            reject(if (demand.route.mayRunAgain) ResultCode.UPSTREAM_FAILED else ResultCode.OUTCOME_UNKNOWN, null)
        }
    }

    private fun onDeadline() {
        if (isDone) return
        handle?.abandon()
        if (mayHaveRun) serving.distrustConnections(tried.last())
        if (!hasBegunToRun) comparePrediction()
        when {
            relay?.hasBegun == true -> lose()
            mayHaveRun -> reject(ResultCode.DEADLINE_EXCEEDED, null)
            else -> reject(ResultCode.DEADLINE_UNREACHABLE, 0)
        }
    }

    private fun reject(code: ResultCode, retryAfterMs: Long?) {
        val headers = serving.format.ownHeaders(call, retryAfterMs)
        val text = Unpooled.copiedBuffer("${code.number} ${code.title}\n", Charsets.UTF_8)
        record.retryAfterMs = retryAfterMs
        caller.answer(code.httpStatus, headers, text)
        finish(Outcome.Rejected(code))
    }

    private fun finish(outcome: Outcome) {
        if (isDone) return
        isDone = true
        deadline?.cancel(false)
        if (!record.isOrphaned) relay?.release()
        call.body.release()
        serving.finished(record, outcome)
        onDone()
    }

    private companion object {
        /** Bounds the upstreams that one request meets, those that did not run it among them. */
        const val MAX_SENDS = 4

        /** A repeat with less time left is served by nobody. */
        const val MIN_REPEAT_MS = 50L
    }
}

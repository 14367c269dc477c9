package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.serving.crash.CrashSubject
import org.medlarhook.serving.upstream.AttemptHandle

/** Prepares and sends the attempts of one request. */
internal class AttemptSender(
    private val serving: ServingLoop,
    private val exchange: Exchange,
    private val call: CallerCall,
    private val caller: Caller,
    private val history: AttemptHistory,
    private val record: ExchangeRecord,
) {
    /** Claims the turns of [subject] at the upstreams of [chosen]. */
    fun newDispatch(subject: CrashSubject, chosen: Placement.Chosen, nowMs: Long): Dispatch {
        val permits = serving.newPermits(subject)
        listOfNotNull(chosen.prefill, chosen.upstream).forEach { permits.claim(it) }
        return Dispatch(chosen, nowMs, permits)
    }

    /** A relay that has not sent anything to the caller yet. */
    fun newRelay(): Relay = Relay(serving.format, caller, serving.answerBuffers)

    /** Counts an attempt at the upstream of [dispatch], which begins now and answers through [relay]. */
    fun newAttempt(
        demand: Demand,
        dispatch: Dispatch,
        relay: Relay,
        nowMs: Long,
        onRunStarted: () -> Unit,
    ): Attempt {
        val chosen = dispatch.chosen
        history.began(chosen.upstream)
        val attemptRecord = record.sent(chosen, nowMs)
        val tracker = AttemptTracker(serving, demand, chosen, nowMs, chosen.upstream, onRunStarted)
        return Attempt(exchange, dispatch, relay, tracker, attemptRecord)
    }

    /** Sends the request, or only its decode, to the upstream of [attempt]. */
    fun send(demand: Demand, attempt: Attempt, step: AttemptStep, nowMs: Long): AttemptHandle {
        val chosen = attempt.dispatch.chosen
        val options = options(demand, chosen, step, nowMs, attempt.relay.lastEventId)
        val request = serving.format.upstreamRequest(call, chosen.upstream, options)
        val permits = attempt.dispatch.permits
        return serving.pool.send(chosen.upstream, call.attemptId, request, demand.route.mayRunAgain, permits, attempt)
            .also { attempt.handle = it }
    }

    /** Sends the prefill to [upstream], for a stream that goes on after [resumeAfterEventId] if that is not null. */
    fun sendPrefill(
        demand: Demand,
        dispatch: Dispatch,
        upstream: Upstream,
        nowMs: Long,
        resumeAfterEventId: Long?,
    ): AttemptHandle {
        val chosen = dispatch.chosen
        val attemptRecord = record.prefillSent(chosen, nowMs)
        val options = options(demand, chosen, AttemptStep.Prefill, nowMs, resumeAfterEventId)
        val request = serving.format.upstreamRequest(call, upstream, options)
        val attempt = PrefillAttempt(exchange, serving, demand, chosen, nowMs, attemptRecord)
        return serving.pool.send(upstream, call.attemptId, request, mayRunAgain = true, dispatch.permits, attempt)
    }

    private fun options(
        demand: Demand,
        chosen: Placement.Chosen,
        step: AttemptStep,
        nowMs: Long,
        resumeAfterEventId: Long?,
    ): AttemptOptions =
        AttemptOptions(
            remainingMs = (demand.deadlineAtMs - nowMs).coerceAtLeast(1),
            workspace = demand.workspace,
            priority = demand.priority.takeIf { demand.generation != null },
            resumeAfterEventId = resumeAfterEventId,
            step = step,
            prefixSource = chosen.prefix?.source?.address.takeIf { step !is AttemptStep.Decode },
        )
}

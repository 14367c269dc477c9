package org.medlarhook.entry.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.claim.AtMostOnceAction
import org.medlarhook.core.claim.AtMostOnceEvent
import org.medlarhook.core.claim.AtMostOncePhase
import org.medlarhook.core.claim.AtMostOnceStep
import org.medlarhook.core.claim.SealResult
import org.medlarhook.core.routing.WorkTokens
import org.medlarhook.entry.claim.ClaimReadResult
import org.medlarhook.entry.routing.RouteRequests
import org.medlarhook.entry.upstream.UpstreamLink
import org.medlarhook.entry.upstream.toCallAnswer
import org.medlarhook.entry.upstream.toFailure
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent

private val logger = KotlinLogging.logger {}

/**
 * Executes the actions of the state machine for one call of a plain service. The call continues after its caller has
 * disconnected, so that its outcome is recorded.
 */
internal class PlainServiceCall(
    private val services: CallServices,
    private val info: RequestInfo,
    private val job: ServiceJob,
    private val listener: ServiceCallListener,
) : OpenRequest {
    private val mailbox = Mailbox(::handle)
    private val attemptChooser =
        AttemptChooser(services, { RouteRequests.of(job, info, it) }) { services.pool.forService(job.service) }
    private var step: AtMostOnceStep = services.atMostOnceMachine.start(job.atMostOnceRequest)
    private var link: UpstreamLink? = null

    /** Registers the request and executes its first actions. */
    fun start() {
        services.openRequests.add(this)
        mailbox.post(Signal.Start)
    }

    override fun tick(nowMs: Long): Unit = post(AtMostOnceEvent.Tick)

    override fun cutOff(): Unit = post(AtMostOnceEvent.CutOff)

    override fun dump(nowMs: Long): JsonObject {
        val fields =
            mapOf(
                "requestId" to JsonPrimitive(info.requestId),
                "kind" to JsonPrimitive(KIND),
                "workspace" to JsonPrimitive(info.workspace?.name),
                "ageMs" to JsonPrimitive(nowMs - info.startedAtMs),
                "remainingMs" to JsonPrimitive(info.deadlineAtMs - nowMs),
                "attempts" to JsonPrimitive(step.state.attempts),
                "phase" to JsonPrimitive(step.state.phase::class.simpleName),
            )
        return JsonObject(fields)
    }

    private fun post(event: AtMostOnceEvent): Unit = mailbox.post(Signal.Event(event))

    private sealed interface Signal {
        data object Start : Signal

        data class Event(
            val event: AtMostOnceEvent,
        ) : Signal
    }

    private fun handle(signal: Signal) {
        if (signal is Signal.Event) {
            if (step.state.phase == AtMostOncePhase.Ended) return
            step = services.atMostOnceMachine.step(step.state, signal.event, services.time.monotonicMs())
        }
        step.actions.forEach(::execute)
    }

    private fun execute(action: AtMostOnceAction) {
        when (action) {
            is AtMostOnceAction.Choose -> choose(action)
            is AtMostOnceAction.WriteClaim ->
                services.claims.write(checkNotNull(job.claimKey), action.claim, action.expectedVersion) { result ->
                    post(AtMostOnceEvent.ClaimWritten(action.claim, result))
                }
            is AtMostOnceAction.ReadClaim -> readClaim()
            is AtMostOnceAction.Send -> send(action)
            is AtMostOnceAction.Seal -> seal(action)
            is AtMostOnceAction.Answer -> {
                services.openRequests.remove(this)
                if (action.isReplay) services.metrics.replayed()
                listener.answered(action.answer, action.isReplay)
            }
            is AtMostOnceAction.Fail -> {
                services.openRequests.remove(this)
                listener.failed(action.failure)
            }
        }
    }

    private fun choose(action: AtMostOnceAction.Choose) {
        if (action.isRetry) logRetry()
        attemptChooser.choose(action.excludedUpstreams, action.isRetry).fold(
            ifLeft = { post(AtMostOnceEvent.NotChosen(it)) },
            ifRight = { chosen ->
                link = chosen.link
                post(AtMostOnceEvent.Chosen(chosen.attempt))
            },
        )
    }

    private fun readClaim() {
        services.claims.read(checkNotNull(job.claimKey)) { result ->
            when (result) {
                is ClaimReadResult.Found -> post(AtMostOnceEvent.ClaimRead(result.row))
                is ClaimReadResult.Failed -> post(AtMostOnceEvent.ClaimReadFailed)
            }
        }
    }

    private fun send(action: AtMostOnceAction.Send) {
        val id = action.attempt.attemptId
        val target = link
        if (target == null || !target.isReady) {
            post(AtMostOnceEvent.NotSent(id))
            return
        }
        target.outstanding.incrementAndGet()
        val work = services.loads.started(target.registration.upstreamId, WorkTokens.NONE)
        services.client.callService(target, job.message(info, action.attempt, action.remainingMs)) { answer ->
            target.outstanding.decrementAndGet()
            work.ended()
            post(answer.toEvent(id))
        }
    }

    private fun ServiceAnswer?.toEvent(attemptId: String): AtMostOnceEvent =
        when {
            this == null -> AtMostOnceEvent.Broken(attemptId)
            hasResponse() -> AtMostOnceEvent.Answered(attemptId, response.toCallAnswer())
            hasRefusal() -> AtMostOnceEvent.Refused(attemptId, refusal.toFailure())
            else -> AtMostOnceEvent.Broken(attemptId)
        }

    private fun seal(action: AtMostOnceAction.Seal) {
        val attempt = action.attempt
        val target = services.pool.link(attempt.upstreamId)
        if (target == null) {
            post(AtMostOnceEvent.SealAnswered(attempt.attemptId, SealResult.Unreachable))
            return
        }
        services.client.seal(target, attempt.attemptId, attempt.incarnation) { result ->
            post(AtMostOnceEvent.SealAnswered(attempt.attemptId, result))
        }
    }

    private fun logRetry() {
        val code = step.state.lastFailure?.code?.number
        logger.warnEvent(LogEvent.ATTEMPT_FAILED, "kind" to KIND, "request" to info.requestId, "code" to code)
    }

    companion object {
        /** The kind of the request in metrics, logs and dumps. */
        const val KIND = "service"
    }
}

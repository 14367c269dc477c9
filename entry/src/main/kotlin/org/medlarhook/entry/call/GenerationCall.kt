package org.medlarhook.entry.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.call.GenerationAction
import org.medlarhook.core.call.GenerationEvent
import org.medlarhook.core.call.GenerationPhase
import org.medlarhook.core.call.GenerationStep
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.entry.routing.RouteRequests
import org.medlarhook.entry.routing.UpstreamLoads
import org.medlarhook.entry.upstream.UpstreamLink
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent

private val logger = KotlinLogging.logger {}

/**
 * Executes the actions of the state machine for one generation. Events are handled one at a time, and no handler
 * blocks.
 */
internal class GenerationCall(
    private val services: CallServices,
    private val info: RequestInfo,
    private val job: GenerationJob,
    private val sink: GenerationSink,
    private val onEnded: (Failure?) -> Unit,
) : OpenRequest {
    private val mailbox = Mailbox(::handle)
    private val attemptChooser =
        AttemptChooser(services, { RouteRequests.of(job, info, it) }) { services.pool.forModel(job.model) }
    private val keyCheck = KeyCheck(services.directory, info, services.settings.keyCheckMs)
    private var step: GenerationStep = services.generationMachine.start(info.deadlineAtMs)

    @Volatile
    private var currentAttempt: GenerationAttempt? = null

    /** The link of the latest attempt, which may have ended. */
    private var link: UpstreamLink? = null
    private var inFlightWork: UpstreamLoads.InFlightWork? = null
    private var promptTokens = job.promptTokens.toLong()
    private var lastSentAtMs = info.startedAtMs

    /** Registers the request and sends its first attempt. */
    fun start() {
        services.openRequests.add(this)
        mailbox.post(Signal.Start)
    }

    /** Ends the generation, because the caller has closed its connection. */
    fun callerDisconnected(): Unit = post(GenerationEvent.CallerDisconnected)

    /** Requests more events from the upstream after the output to a slow caller was written. */
    fun outputDrained() {
        currentAttempt?.resume()
    }

    override fun tick(nowMs: Long) {
        if (!keyCheck.stillAllowed(nowMs)) post(GenerationEvent.AccessWithdrawn)
        mailbox.post(Signal.Tick(nowMs))
    }

    override fun cutOff(): Unit = post(GenerationEvent.CutOff)

    override fun dump(nowMs: Long): JsonObject {
        val state = step.state
        val fields =
            mapOf(
                "requestId" to JsonPrimitive(info.requestId),
                "kind" to JsonPrimitive(KIND),
                "workspace" to JsonPrimitive(job.workspace.name),
                "ageMs" to JsonPrimitive(nowMs - info.startedAtMs),
                "remainingMs" to JsonPrimitive(info.deadlineAtMs - nowMs),
                "attempts" to JsonPrimitive(state.attempts),
                "tokens" to JsonPrimitive(state.nextToken),
                "phase" to JsonPrimitive(state.phase::class.simpleName),
            )
        return JsonObject(fields)
    }

    private fun post(event: GenerationEvent): Unit = mailbox.post(Signal.Event(event))

    private sealed interface Signal {
        data object Start : Signal

        data class Event(
            val event: GenerationEvent,
        ) : Signal

        data class Tick(
            val nowMs: Long,
        ) : Signal
    }

    private fun handle(signal: Signal) {
        when (signal) {
            is Signal.Start -> execute(step.actions)
            is Signal.Event -> advance(signal.event, services.time.monotonicMs())
            is Signal.Tick -> handleTick(signal.nowMs)
        }
    }

    private fun advance(event: GenerationEvent, nowMs: Long) {
        if (step.state.phase == GenerationPhase.Ended) return
        updateLoads(event, nowMs)
        step = services.generationMachine.step(step.state, event, nowMs)
        execute(step.actions)
    }

    /** Records progress, success or failure of the current attempt for routing. */
    private fun updateLoads(event: GenerationEvent, nowMs: Long) {
        val attempt = currentAttempt ?: return
        val upstreamId = attempt.link.registration.upstreamId
        when {
            event is GenerationEvent.TokensArrived && event.attemptId == attempt.id -> inFlightWork?.prefilled()
            event is GenerationEvent.Completed && event.attemptId == attempt.id ->
                services.loads.succeeded(upstreamId, nowMs)
            event.isFailureOf(attempt.id) -> services.loads.failed(upstreamId, services.pool.links().size, nowMs)
        }
    }

    private fun GenerationEvent.isFailureOf(attemptId: String): Boolean =
        (this is GenerationEvent.Broken && this.attemptId == attemptId) ||
            (
                this is GenerationEvent.Refused &&
                    this.attemptId == attemptId &&
                    failure.code == ResultCode.UPSTREAM_FAILED
            )

    /**
     * Checks time-outs. An attempt without events does not count as silent while the sidecar sends heartbeats on the
     * same connection, or while no events are requested because the caller reads too slowly.
     */
    private fun handleTick(nowMs: Long) {
        val attempt = currentAttempt
        val isAlive = link?.isAlive(nowMs, services.settings.heartbeatTimeoutMs) ?: false
        if (attempt != null && (attempt.isPaused || isAlive)) {
            advance(GenerationEvent.Alive(attempt.id, started = false), nowMs)
        }
        advance(GenerationEvent.Tick, nowMs)
        if (nowMs - lastSentAtMs >= services.settings.callerHeartbeatMs) {
            lastSentAtMs = nowMs
            if (step.state.phase != GenerationPhase.Ended) sink.heartbeat()
        }
    }

    private fun execute(actions: List<GenerationAction>) {
        actions.forEach { action ->
            when (action) {
                is GenerationAction.Choose -> choose(action)
                is GenerationAction.Send -> send(action)
                is GenerationAction.Cancel -> endAttempt()?.cancel()
                is GenerationAction.ReplaceChannel -> link?.let { services.pool.replace(it) }
                is GenerationAction.Deliver -> deliver(action)
                is GenerationAction.Finish -> finish(action)
                is GenerationAction.Fail -> fail(action.failure)
            }
        }
    }

    private fun choose(action: GenerationAction.Choose) {
        if (action.isRetry) logRetry()
        endAttempt()
        attemptChooser.choose(action.excludedUpstreams, action.isRetry).fold(
            ifLeft = { post(GenerationEvent.NotChosen(it)) },
            ifRight = { chosen ->
                link = chosen.link
                post(GenerationEvent.Chosen(chosen.attempt))
            },
        )
    }

    private fun send(action: GenerationAction.Send) {
        val target = link ?: return
        val id = action.attempt.attemptId
        if (!target.isReady) {
            val failure = Failure(ResultCode.UPSTREAM_FAILED, RunState.NOT_RUN, "the upstream is not connected")
            post(GenerationEvent.Refused(id, failure))
            return
        }
        target.outstanding.incrementAndGet()
        inFlightWork = services.loads.started(target.registration.upstreamId, RouteRequests.work(job))
        val attempt = GenerationAttempt(id, target, sink, ::post) { promptTokens = it }
        currentAttempt = attempt
        attempt.start(services.client, GenerateRequests.of(info, job, action))
    }

    private fun deliver(action: GenerationAction.Deliver) {
        services.metrics.tokens(action.texts.size)
        lastSentAtMs = services.time.monotonicMs()
        sink.deliver(action.texts)
    }

    private fun finish(action: GenerationAction.Finish) {
        endAttempt()
        sink.finish(action.finishReason, Usage(promptTokens, action.outputTokens.toLong()))
        close(null)
    }

    private fun fail(failure: Failure) {
        endAttempt()
        sink.fail(failure)
        close(failure)
    }

    private fun close(failure: Failure?) {
        services.openRequests.remove(this)
        onEnded(failure)
    }

    private fun endAttempt(): GenerationAttempt? {
        val attempt = currentAttempt ?: return null
        currentAttempt = null
        inFlightWork?.ended()
        inFlightWork = null
        attempt.link.outstanding.decrementAndGet()
        return attempt
    }

    private fun logRetry() {
        val code = step.state.lastFailure?.code?.number
        logger.warnEvent(LogEvent.ATTEMPT_FAILED, "kind" to KIND, "request" to info.requestId, "code" to code)
    }

    companion object {
        /** The kind of the request in metrics, logs and dumps. */
        const val KIND = "generation"
    }
}

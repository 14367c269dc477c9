package org.medlarhook.core.call.fuzz

import org.medlarhook.core.call.AttemptLimits
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.GenerationAction
import org.medlarhook.core.call.GenerationEvent
import org.medlarhook.core.call.GenerationMachine
import org.medlarhook.core.call.GenerationPhase
import org.medlarhook.core.call.GenerationStep
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import kotlin.random.Random

/** Simulates the streams of several requests, whose events are lost, delayed, duplicated, reordered or misdirected. */
internal class StreamSimulation(
    private val fault: StreamFault = StreamFault.NONE,
    private val totals: StreamTotals = StreamTotals(),
) : Simulation<StreamSimulation.Op> {
    enum class Op {
        SUBMIT,
        FLOW,
        LOSE,
        DUPLICATE,
        BREAK,
        REFUSE,
        ELAPSE,
        LEAVE,
        WITHDRAW,
    }

    private class Stream(
        val number: Int,
        var step: GenerationStep,
    ) {
        val expected = List(1 + number % MAX_TOKENS) { "r$number-t$it " }
        val oracle = StreamOracle(expected)
    }

    private val machine = GenerationMachine(AttemptLimits(maxAttempts = 4))
    private val streams = ArrayList<Stream>()
    private val messages = ArrayList<Pair<Int, GenerationEvent>>()
    private var attempts = 0
    private var nowMs = 0L

    override fun perform(step: FuzzStep<Op>) {
        val random = Random(step.seed)
        val stream = streams.randomOrNull(random)
        when (step.op) {
            Op.SUBMIT -> submit(random)
            Op.FLOW -> repeat(random.nextInt(1, FLOW_LENGTH)) { take(random)?.let { (to, event) -> handle(to, event) } }
            Op.LOSE -> take(random)
            Op.DUPLICATE -> messages.randomOrNull(random)?.let { messages += it }
            Op.ELAPSE -> elapse(random.nextLong(1, MAX_ELAPSE_MS))
            Op.BREAK, Op.REFUSE, Op.LEAVE, Op.WITHDRAW -> stream?.let { injectFault(it, step.op, random) }
        }
    }

    private fun injectFault(stream: Stream, op: Op, random: Random) {
        val isRare = random.nextInt(RARELY) == 0
        when {
            op == Op.BREAK -> loseConnection(stream)
            op == Op.REFUSE -> refuse(stream, random)
            op == Op.LEAVE && isRare -> handle(stream.number, GenerationEvent.CallerDisconnected)
            op == Op.WITHDRAW && isRare -> handle(stream.number, GenerationEvent.AccessWithdrawn)
        }
    }

    override fun settle() {
        val random = Random(0)
        repeat(SETTLE_ROUNDS) {
            while (messages.isNotEmpty()) take(random)?.let { (to, event) -> handle(to, event) }
            elapse(MAX_ELAPSE_MS)
        }
        streams.forEach { oracle(it.step.state.phase == GenerationPhase.Ended) { "request ${it.number} never ended" } }
        totals.add(streams.size, streams.count { it.oracle.isComplete })
    }

    private fun submit(random: Random) {
        val stream = Stream(streams.size, machine.start(nowMs + DEADLINE_MS))
        streams += stream
        carryOut(stream, random)
    }

    private fun take(random: Random) =
        if (messages.isEmpty()) null else messages.removeAt(random.nextInt(minOf(messages.size, REORDER_WINDOW)))

    private fun handle(to: Int, event: GenerationEvent) {
        val stream = streams[to]
        stream.step = machine.step(stream.step.state, withFault(stream, event), nowMs)
        carryOut(stream, Random(nowMs))
    }

    private fun carryOut(stream: Stream, random: Random) {
        val actions = stream.step.actions
        stream.step = stream.step.copy(actions = emptyList())
        actions.forEach { action ->
            when (action) {
                is GenerationAction.Choose -> choose(stream, action, random)
                is GenerationAction.Send -> send(stream, action)
                is GenerationAction.Deliver -> stream.oracle.delivered(action.texts)
                is GenerationAction.Finish -> stream.oracle.finished()
                is GenerationAction.Fail -> stream.oracle.failed(action.failure.runState == RunState.NOT_RUN)
                is GenerationAction.Cancel, is GenerationAction.ReplaceChannel -> Unit
            }
        }
    }

    private fun choose(stream: Stream, action: GenerationAction.Choose, random: Random) {
        val upstream = (0 until UPSTREAMS).map { "upstream-$it" }.filter { it !in action.excludedUpstreams }
        val event =
            if (upstream.isEmpty()) {
                GenerationEvent.NotChosen(Failure(ResultCode.NO_UPSTREAM, RunState.NOT_RUN))
            } else {
                GenerationEvent.Chosen(AttemptRef("attempt-${attempts++}", upstream.random(random), "", 1))
            }
        messages += stream.number to event
    }

    /** The upstream sends the rest of the text. Some events are also delivered to another request by mistake. */
    private fun send(stream: Stream, action: GenerationAction.Send) {
        val id = action.attempt.attemptId
        val from = if (fault == StreamFault.RESUMES_AT_FIRST_TOKEN) 0 else action.resumeFromToken
        messages += stream.number to GenerationEvent.Alive(id, started = true)
        (from until stream.expected.size).chunked(TOKENS_PER_EVENT).forEach { indexes ->
            val first = if (fault ==
                StreamFault.RESUMES_AT_FIRST_TOKEN
            ) {
                indexes.first() + action.resumeFromToken
            } else {
                indexes.first()
            }
            messages += stream.number to GenerationEvent.TokensArrived(id, first, indexes.map { stream.expected[it] })
        }
        messages += stream.number to GenerationEvent.Completed(id, "stop", stream.expected.size)
        misdirect(stream, id)
    }

    /** Delivers events of the attempt [attemptId] to another request than its own. */
    private fun misdirect(stream: Stream, attemptId: String) {
        val other = streams.firstOrNull { it.number % MISDIRECT_ONE_IN == stream.number % MISDIRECT_ONE_IN } ?: return
        if (other === stream) return
        messages += other.number to GenerationEvent.TokensArrived(attemptId, 0, stream.expected.take(2))
        messages += other.number to GenerationEvent.Completed(attemptId, "stop", stream.expected.size)
    }

    private fun currentAttempt(stream: Stream): String? =
        (stream.step.state.phase as? GenerationPhase.Running)?.attempt?.attemptId

    private fun loseConnection(stream: Stream) {
        val id = currentAttempt(stream) ?: return
        if (fault == StreamFault.TREATS_LOST_CONNECTION_AS_END) {
            handle(stream.number, GenerationEvent.Completed(id, "stop", stream.step.state.nextToken))
        } else {
            handle(stream.number, GenerationEvent.Broken(id, "reset"))
        }
    }

    private fun refuse(stream: Stream, random: Random) {
        val id = currentAttempt(stream) ?: return
        val code = listOf(
            ResultCode.QUEUE_FULL,
            ResultCode.UPSTREAM_FAILED,
            ResultCode.DEADLINE_UNREACHABLE,
        ).random(random)
        handle(stream.number, GenerationEvent.Refused(id, Failure(code, RunState.NOT_RUN)))
    }

    private fun elapse(durationMs: Long) {
        nowMs += durationMs
        streams.indices.forEach { handle(it, GenerationEvent.Tick) }
    }

    /** Changes [event] so that the check which [fault] disables does not reject it. */
    private fun withFault(stream: Stream, event: GenerationEvent): GenerationEvent {
        val current = currentAttempt(stream) ?: return event
        val next = stream.step.state.nextToken
        return when {
            event is GenerationEvent.TokensArrived && fault == StreamFault.IGNORES_ATTEMPT_IDS ->
                event.copy(attemptId = current)
            event is GenerationEvent.TokensArrived && fault == StreamFault.IGNORES_TOKEN_INDEXES ->
                event.copy(firstIndex = next)
            else -> event
        }
    }

    companion object {
        private const val MAX_TOKENS = 9
        private const val TOKENS_PER_EVENT = 2
        private const val UPSTREAMS = 5
        private const val FLOW_LENGTH = 12
        private const val REORDER_WINDOW = 3
        private const val SETTLE_ROUNDS = 12
        private const val DEADLINE_MS = 20_000L
        private const val MAX_ELAPSE_MS = 4_000L
        private const val RARELY = 4
        private const val MISDIRECT_ONE_IN = 3
        val OPS = Op.entries + List(8) { Op.FLOW } + List(3) { Op.SUBMIT }
    }
}

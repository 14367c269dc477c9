package org.medlarhook.core.call.fuzz

import org.medlarhook.core.call.AttemptLimits
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.claim.AtMostOnceAction
import org.medlarhook.core.claim.AtMostOnceEvent
import org.medlarhook.core.claim.AtMostOnceMachine
import org.medlarhook.core.claim.AtMostOnceRequest
import org.medlarhook.core.claim.Claim
import org.medlarhook.core.claim.ClaimRow
import org.medlarhook.core.claim.ClaimWriteResult
import org.medlarhook.core.claim.SealResult
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import kotlin.random.Random

/** Simulates several entries and sidecars with one table, with faults between any two steps. */
internal class BookingSimulation(
    private val fault: BookingFault = BookingFault.NONE,
    private val totals: BookingTotals = BookingTotals(),
) : Simulation<BookingSimulation.Op> {
    enum class Op {
        SUBMIT,
        SUBMIT_KEYED,
        FLOW,
        LOSE,
        DUPLICATE,
        BREAK,
        LOSE_TABLE_ANSWER,
        ELAPSE,
        RESTART_SIDECAR,
        DRAIN,
        KILL_ENTRY,
        PAUSE_ENTRY,
        RESUME_ENTRY,
        OUTAGE,
        HEAL,
    }

    private val oracle = BookingOracle()
    private val machine = AtMostOnceMachine(AttemptLimits(maxAttempts = 3))
    private val sidecars = List(SIDECARS) { FakeSidecar("upstream-$it", oracle, fault) }
    private val rows = HashMap<String, ClaimRow>()
    private val requests = ArrayList<BookingRequest>()
    private val live = HashSet<Int>()
    private val paused = HashSet<Int>()
    private val messages = ArrayList<BookingMessage>()
    private var lastVersion = 0L
    private var attempts = 0
    private var nowMs = 1_000L
    private var isOutage = false

    override fun perform(step: FuzzStep<Op>) {
        val random = Random(step.seed)
        when (step.op) {
            Op.SUBMIT -> submit(step.who, key = null, random)
            Op.SUBMIT_KEYED -> submit(step.who, "key-${random.nextInt(KEYS)}", random)
            Op.FLOW -> repeat(random.nextInt(1, FLOW_LENGTH)) { flow(random) }
            Op.LOSE -> takeMessage(random)
            Op.DUPLICATE -> messages.randomOrNull(random)?.let { messages += it }
            Op.BREAK -> breakConnection(random)
            Op.LOSE_TABLE_ANSWER -> loseTableAnswer(random)
            Op.ELAPSE -> elapse(random.nextLong(1, MAX_ELAPSE_MS))
            else -> injectFault(step)
        }
    }

    private fun injectFault(step: FuzzStep<Op>) {
        val sidecar = sidecars[step.who % SIDECARS]
        val entry = step.who % ENTRIES
        when (step.op) {
            Op.RESTART_SIDECAR -> sidecar.restart()
            Op.DRAIN -> sidecar.isDraining = !sidecar.isDraining
            Op.KILL_ENTRY -> live.removeAll { requests[it].entry == entry }
            Op.PAUSE_ENTRY -> paused += entry
            Op.RESUME_ENTRY -> paused -= entry
            Op.OUTAGE -> isOutage = true
            Op.HEAL -> isOutage = false
            else -> error("unexpected fault: $step")
        }
    }

    override fun settle() {
        val random = Random(0)
        paused.clear()
        isOutage = false
        repeat(SETTLE_ROUNDS) {
            repeat(SETTLE_FLOWS) { flow(random) }
            elapse(MAX_ELAPSE_MS)
        }
        totals.add(oracle, cases = 1)
    }

    private fun submit(who: Int, key: String?, random: Random) {
        val digest = if (random.nextInt(OTHER_BODY_ONE_IN) == 0) "other" else "same"
        val request = AtMostOnceRequest(nowMs + DEADLINE_MS, digest, hasIdempotencyKey = key != null)
        requests += BookingRequest(requests.size, who % ENTRIES, key, machine, request)
        live += requests.size - 1
    }

    /** Makes one random step of an entry, a message or a sidecar. */
    private fun flow(random: Random) {
        when (random.nextInt(FLOW_KINDS)) {
            0, 1 -> active().filter { it.pending.isNotEmpty() }.randomOrNull(random)?.let { act(it, random) }
            2, 3 -> takeMessage(random)?.let(::deliver)
            4 -> sidecars.random(random).start()
            else -> sidecars.random(random).finish()?.let { messages += it }
        }
    }

    private fun active() = live.map { requests[it] }.filter { it.entry !in paused }

    private fun takeMessage(random: Random): BookingMessage? =
        if (messages.isEmpty()) null else messages.removeAt(random.nextInt(messages.size))

    private fun act(request: BookingRequest, random: Random) {
        when (val action = request.nextAction()) {
            is AtMostOnceAction.Choose -> choose(request, action, random)
            is AtMostOnceAction.WriteClaim -> write(request, action)
            is AtMostOnceAction.ReadClaim ->
                messages +=
                    BookingMessage.ClaimRead(request.number, checkNotNull(request.key))
            is AtMostOnceAction.Send -> messages += BookingMessage.Call(request.number, request.key, action.attempt)
            is AtMostOnceAction.Seal -> seal(request, action)
            is AtMostOnceAction.Answer ->
                oracle.answered(request.number, request.key, action.answer.body.decodeToString(), action.isReplay)
            is AtMostOnceAction.Fail -> reportFailure(request, action.failure)
            null -> Unit
        }
    }

    private fun reportFailure(request: BookingRequest, failure: Failure) {
        if (failure.runState == RunState.NOT_RUN) oracle.reportedNotRun(request.number) else oracle.reportedUnknown()
    }

    private fun choose(request: BookingRequest, action: AtMostOnceAction.Choose, random: Random) {
        val sidecar = sidecars.filter { it.upstreamId !in action.excludedUpstreams }.randomOrNull(random)
        val event =
            if (sidecar == null) {
                AtMostOnceEvent.NotChosen(Failure(ResultCode.NO_UPSTREAM, RunState.NOT_RUN))
            } else {
                AtMostOnceEvent.Chosen(AttemptRef("attempt-${attempts++}", sidecar.upstreamId, "", sidecar.incarnation))
            }
        request.handle(event, nowMs)
    }

    private fun write(request: BookingRequest, action: AtMostOnceAction.WriteClaim) {
        val key = checkNotNull(request.key)
        messages += BookingMessage.ClaimWrite(request.number, key, action.claim, action.expectedVersion)
        if (fault == BookingFault.SENDS_BEFORE_CLAIM_IS_WRITTEN) {
            request.handle(
                AtMostOnceEvent.ClaimWritten(action.claim, ClaimWriteResult.Written(action.expectedVersion)),
                nowMs,
            )
        }
    }

    private fun seal(request: BookingRequest, action: AtMostOnceAction.Seal) {
        if (fault == BookingFault.REPLACES_CLAIM_WITHOUT_SEAL) {
            request.handle(AtMostOnceEvent.SealAnswered(action.attempt.attemptId, SealResult.Sealed), nowMs)
        } else {
            messages += BookingMessage.SealRequest(request.number, action.attempt)
        }
    }

    private fun deliver(message: BookingMessage) {
        when (message) {
            is BookingMessage.Call ->
                sidecarOf(message.attempt).accept(message)?.let { failure ->
                    reply(message.request, AtMostOnceEvent.Refused(message.attempt.attemptId, failure))
                }
            is BookingMessage.Answer -> toEntry(
                message.request,
                AtMostOnceEvent.Answered(message.attemptId, message.answer),
            )
            is BookingMessage.SealRequest -> {
                val attempt = message.attempt
                val result = sidecarOf(attempt).seal(attempt.attemptId, attempt.incarnation)
                reply(message.request, AtMostOnceEvent.SealAnswered(attempt.attemptId, result))
            }
            is BookingMessage.ClaimWrite -> reply(
                message.request,
                AtMostOnceEvent.ClaimWritten(message.claim, store(message)),
            )
            is BookingMessage.ClaimRead ->
                reply(
                    message.request,
                    if (isOutage) AtMostOnceEvent.ClaimReadFailed else AtMostOnceEvent.ClaimRead(rows[message.key]),
                )
            is BookingMessage.ToEntry -> toEntry(message.request, message.event)
        }
    }

    private fun sidecarOf(attempt: AttemptRef) = sidecars.first { it.upstreamId == attempt.upstreamId }

    private fun reply(request: Int, event: AtMostOnceEvent) {
        messages += BookingMessage.ToEntry(request, event)
    }

    private fun toEntry(request: Int, event: AtMostOnceEvent) {
        val target = requests[request]
        when {
            request !in live -> Unit
            target.entry in paused -> reply(request, event)
            else -> target.handle(event, nowMs)
        }
    }

    private fun store(write: BookingMessage.ClaimWrite): ClaimWriteResult {
        val current = rows[write.key]
        val matches = (current?.version ?: 0L) == write.expectedVersion || fault == BookingFault.WRITES_UNCONDITIONALLY
        return when {
            isOutage -> ClaimWriteResult.Unavailable
            matches -> {
                lastVersion++
                rows[write.key] = ClaimRow(write.claim, lastVersion)
                ClaimWriteResult.Written(lastVersion)
            }
            else -> ClaimWriteResult.Refused(current)
        }
    }

    /** A connection is lost: the entry gets an event, and messages in flight may still arrive. */
    private fun breakConnection(random: Random) {
        val calls = messages.filterIsInstance<BookingMessage.Call>()
        val answers = messages.filterIsInstance<BookingMessage.Answer>().map { it.request to it.attemptId }
        val (request, attemptId) =
            (calls.map { it.request to it.attempt.attemptId } + answers).randomOrNull(random) ?: return
        val isBroken = fault != BookingFault.REPORTS_LOST_CALL_AS_NOT_SENT
        toEntry(request, if (isBroken) AtMostOnceEvent.Broken(attemptId) else AtMostOnceEvent.NotSent(attemptId))
    }

    /** The answer of a write is lost; the write may be done now or later. */
    private fun loseTableAnswer(random: Random) {
        val write = messages.filterIsInstance<BookingMessage.ClaimWrite>().randomOrNull(random) ?: return
        if (random.nextBoolean()) {
            messages -= write
            store(write)
        }
        toEntry(write.request, unknown(write.claim))
    }

    private fun unknown(claim: Claim) = AtMostOnceEvent.ClaimWritten(claim, ClaimWriteResult.Unknown)

    private fun elapse(durationMs: Long) {
        nowMs += durationMs
        active().forEach { it.handle(AtMostOnceEvent.Tick, nowMs) }
    }

    companion object {
        private const val ENTRIES = 3
        private const val SIDECARS = 2
        private const val KEYS = 2
        private const val FLOW_LENGTH = 25
        private const val FLOW_KINDS = 6
        private const val SETTLE_ROUNDS = 6
        private const val SETTLE_FLOWS = 60
        private const val DEADLINE_MS = 5_000L
        private const val MAX_ELAPSE_MS = 3_000L
        private const val OTHER_BODY_ONE_IN = 10
        val OPS = Op.entries + List(8) { Op.FLOW } + List(3) { Op.SUBMIT_KEYED } + Op.SUBMIT
    }
}

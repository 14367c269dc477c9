package org.medlarhook.core.call.fuzz

import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.claim.SealResult
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** Fake sidecar: starts an attempt once, refuses sealed attempts, and loses its state in a restart. */
internal class FakeSidecar(
    val upstreamId: String,
    private val oracle: BookingOracle,
    private val fault: BookingFault,
) {
    private sealed interface Status {
        data object Refused : Status

        data object Running : Status

        data class Done(
            val answer: CallAnswer,
        ) : Status
    }

    private val statuses = HashMap<String, Status>()
    private val queue = ArrayDeque<BookingMessage.Call>()
    private val running = ArrayDeque<Pair<BookingMessage.Call, CallAnswer>>()
    private var doneCount = 0
    var incarnation = 1L
        private set
    var isDraining = false
    private val queued = HashSet<String>()

    /** Queues a call, or returns why it is refused. */
    fun accept(call: BookingMessage.Call): Failure? {
        val id = call.attempt.attemptId
        return when {
            call.attempt.incarnation != incarnation && fault != BookingFault.IGNORES_INCARNATIONS ->
                Failure(ResultCode.WRONG_INCARNATION, RunState.NOT_RUN)
            id in queued -> Failure(ResultCode.DUPLICATE_ATTEMPT, RunState.NOT_RUN)
            statuses[id] == Status.Refused -> Failure(ResultCode.ATTEMPT_SEALED, RunState.NOT_RUN)
            id in statuses -> Failure(ResultCode.DUPLICATE_ATTEMPT, RunState.NOT_RUN)
            isDraining -> Failure(ResultCode.DRAINING, RunState.NOT_RUN).also { statuses[id] = Status.Refused }
            else -> null.also { enqueue(call) }
        }
    }

    private fun enqueue(call: BookingMessage.Call) {
        queue += call
        queued += call.attempt.attemptId
    }

    /** Starts the oldest queued attempt. */
    fun start() {
        val call = queue.removeFirstOrNull() ?: return
        queued -= call.attempt.attemptId
        statuses[call.attempt.attemptId] = Status.Running
        running += call to CallAnswer(201, emptyList(), oracle.executed(call.request, call.key).encodeToByteArray())
    }

    /** Finishes the oldest running attempt. */
    fun finish(): BookingMessage.Answer? {
        val (call, answer) = running.removeFirstOrNull() ?: return null
        doneCount++
        statuses[call.attempt.attemptId] = Status.Done(answer)
        return BookingMessage.Answer(call.request, call.attempt.attemptId, answer)
    }

    /** Seals the attempt unless it has started, and returns its status. */
    fun seal(attemptId: String, callIncarnation: Long): SealResult {
        if (callIncarnation != incarnation && fault != BookingFault.IGNORES_INCARNATIONS) return SealResult.Undetermined
        if (queued.remove(attemptId)) queue.removeAll { it.attempt.attemptId == attemptId }
        return when (val status = statuses[attemptId]) {
            is Status.Running -> SealResult.Running
            is Status.Done -> SealResult.Answered(status.answer)
            is Status.Refused -> SealResult.Sealed
            null -> {
                if (fault != BookingFault.LOSES_SEALS) statuses[attemptId] = Status.Refused
                SealResult.Sealed
            }
        }
    }

    /** Replaces this process by one with the next incarnation. */
    fun restart() {
        incarnation++
        isDraining = false
        statuses.clear()
        queue.clear()
        queued.clear()
        running.clear()
    }
}

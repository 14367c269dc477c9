package org.medlarhook.core.call.fuzz

import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.claim.SealResult
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** A sidecar by its contract: starts an attempt once, refuses sealed ones, and forgets all with a restart. */
internal class FakeSidecar(
    val upstreamId: String,
    private val oracle: BookingOracle,
    private val fault: BookingFault,
) {
    private sealed interface Fate {
        data object Refused : Fate

        data object Running : Fate

        data class Done(
            val answer: CallAnswer,
        ) : Fate
    }

    private val fates = HashMap<String, Fate>()
    private val queue = ArrayDeque<BookingMessage.Call>()
    private val running = ArrayDeque<Pair<BookingMessage.Call, CallAnswer>>()
    private var doneCount = 0
    var incarnation = 1L
        private set
    var isDraining = false
    private val queued = HashSet<String>()

    /** Takes a call; a refusal is returned at once. */
    fun accept(call: BookingMessage.Call): Failure? {
        val id = call.attempt.attemptId
        return when {
            call.attempt.incarnation != incarnation && fault != BookingFault.IGNORES_INCARNATIONS ->
                Failure(ResultCode.WRONG_INCARNATION, RunState.NOT_RUN)
            id in queued -> Failure(ResultCode.DUPLICATE_ATTEMPT, RunState.NOT_RUN)
            fates[id] == Fate.Refused -> Failure(ResultCode.ATTEMPT_SEALED, RunState.NOT_RUN)
            id in fates -> Failure(ResultCode.DUPLICATE_ATTEMPT, RunState.NOT_RUN)
            isDraining -> Failure(ResultCode.DRAINING, RunState.NOT_RUN).also { fates[id] = Fate.Refused }
            else -> null.also { enqueue(call) }
        }
    }

    private fun enqueue(call: BookingMessage.Call) {
        queue += call
        queued += call.attempt.attemptId
    }

    /** Starts the oldest attempt of the queue. */
    fun start() {
        val call = queue.removeFirstOrNull() ?: return
        queued -= call.attempt.attemptId
        fates[call.attempt.attemptId] = Fate.Running
        running += call to CallAnswer(201, emptyList(), oracle.executed(call.request, call.key).encodeToByteArray())
    }

    /** Finishes the oldest attempt that runs. */
    fun finish(): BookingMessage.Answer? {
        val (call, answer) = running.removeFirstOrNull() ?: return null
        doneCount++
        fates[call.attempt.attemptId] = Fate.Done(answer)
        return BookingMessage.Answer(call.request, call.attempt.attemptId, answer)
    }

    /** Tells the fate of an attempt, and refuses it for good if it has not started. */
    fun seal(attemptId: String, forIncarnation: Long): SealResult {
        if (forIncarnation != incarnation && fault != BookingFault.IGNORES_INCARNATIONS) return SealResult.Undetermined
        if (queued.remove(attemptId)) queue.removeAll { it.attempt.attemptId == attemptId }
        return when (val fate = fates[attemptId]) {
            is Fate.Running -> SealResult.Running
            is Fate.Done -> SealResult.Answered(fate.answer)
            is Fate.Refused -> SealResult.Sealed
            null -> {
                if (fault != BookingFault.FORGETS_SEALS) fates[attemptId] = Fate.Refused
                SealResult.Sealed
            }
        }
    }

    /** Another process takes the place of this one. */
    fun restart() {
        incarnation++
        isDraining = false
        fates.clear()
        queue.clear()
        queued.clear()
        running.clear()
    }
}

package org.medlarhook.core.attempt

import com.google.common.hash.BloomFilter
import com.google.common.hash.Funnels

/**
 * The bounded memory of the attempts of one incarnation.
 *
 * Recent attempts are held with their state. Older ones move to a Bloom filter, which errs only towards "seen
 * before": such an attempt neither starts nor is sealed. Once the filter is full, unknown attempts are neither accepted
 * nor sealed; nothing is ever dropped, as that would allow a second start.
 */
public class AttemptTable<A>(
    private val incarnation: Long,
    private val limits: AttemptLimits,
) : AttemptRegistry<A> {
    private enum class LiveState { ACCEPTED, RUNNING }

    private sealed interface Settled {
        data object Refused : Settled

        data object Done : Settled
    }

    private val liveStates = HashMap<String, LiveState>()
    private val settledStates = LinkedHashMap<String, Settled>()
    private val answers = RetainedAnswers<A>(limits.maxAnswers, limits.maxAnswerBytes)
    private val forgotten = BloomFilter.create(Funnels.unencodedCharsFunnel(), limits.maxForgotten, FALSE_POSITIVES)
    private var forgottenCount = 0

    override val usedShare: Double get() = used.toDouble() / capacity

    private val used get() = liveStates.size + settledStates.size + forgottenCount
    private val capacity = limits.maxSettled + limits.maxForgotten

    override fun accept(attemptId: String, incarnation: Long): Acceptance =
        when {
            incarnation != this.incarnation -> Acceptance.WRONG_INCARNATION
            attemptId in liveStates -> Acceptance.DUPLICATE
            settledStates[attemptId] == Settled.Refused -> Acceptance.SEALED
            attemptId in settledStates || forgotten.mightContain(attemptId) -> Acceptance.DUPLICATE
            used >= capacity -> Acceptance.EXHAUSTED
            else -> Acceptance.ACCEPTED.also { liveStates[attemptId] = LiveState.ACCEPTED }
        }

    override fun start(attemptId: String): Boolean {
        if (liveStates[attemptId] != LiveState.ACCEPTED) return false
        liveStates[attemptId] = LiveState.RUNNING
        return true
    }

    override fun abandon(attemptId: String): Boolean {
        if (liveStates[attemptId] != LiveState.ACCEPTED) return false
        liveStates.remove(attemptId)
        settle(attemptId, Settled.Refused)
        return true
    }

    override fun finish(attemptId: String, answer: A?, answerBytes: Long) {
        check(liveStates.remove(attemptId) == LiveState.RUNNING) { "attempt $attemptId does not run" }
        settle(attemptId, Settled.Done)
        if (answer != null) answers.retain(attemptId, answer, answerBytes)
    }

    override fun seal(attemptId: String, incarnation: Long): AttemptFate<A> {
        if (incarnation != this.incarnation) return AttemptFate.Undetermined
        return when (liveStates[attemptId]) {
            LiveState.RUNNING -> AttemptFate.Running
            LiveState.ACCEPTED -> AttemptFate.Sealed.also { abandon(attemptId) }
            null -> sealSettled(attemptId)
        }
    }

    private fun sealSettled(attemptId: String): AttemptFate<A> =
        when (settledStates[attemptId]) {
            Settled.Done -> AttemptFate.Finished(answers[attemptId])
            Settled.Refused -> AttemptFate.Sealed
            null -> sealUnknown(attemptId)
        }

    private fun sealUnknown(attemptId: String): AttemptFate<A> {
        if (forgotten.mightContain(attemptId) || used >= capacity) return AttemptFate.Undetermined
        settle(attemptId, Settled.Refused)
        return AttemptFate.Sealed
    }

    private fun settle(attemptId: String, state: Settled) {
        settledStates[attemptId] = state
        if (settledStates.size > limits.maxSettled) forgetOldest()
    }

    private fun forgetOldest() {
        val oldestId = settledStates.keys.first()
        settledStates.remove(oldestId)
        answers.drop(oldestId)
        forgotten.put(oldestId)
        forgottenCount++
    }

    private companion object {
        const val FALSE_POSITIVES = 1e-6
    }
}

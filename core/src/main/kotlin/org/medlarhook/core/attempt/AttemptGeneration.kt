package org.medlarhook.core.attempt

import com.google.common.hash.BloomFilter
import com.google.common.hash.Funnels

/** The ended attempts of one incarnation: recent ones with their state, older ones in a Bloom filter. */
internal class AttemptGeneration<A>(
    val incarnation: Long,
    private val limits: AttemptTableLimits,
) {
    private enum class Settled { REFUSED, DONE }

    private val settledStates = LinkedHashMap<String, Settled>()
    private val answers = RetainedAnswers<A>(limits.maxAnswers, limits.maxAnswerBytes)
    private val forgotten = BloomFilter.create(Funnels.unencodedCharsFunnel(), limits.maxFilterEntries, FALSE_POSITIVES)
    private var forgottenCount = 0

    /** Attempts of this generation that are accepted or run. */
    var liveCount = 0

    /** The share of the memory in use, from 0 to 1. */
    val usedShare: Double get() = used.toDouble() / (limits.maxStateEntries + limits.maxFilterEntries)

    /** True if no further attempt can be remembered. */
    val isFull: Boolean get() = used >= limits.maxStateEntries + limits.maxFilterEntries

    private val used get() = liveCount + settledStates.size + forgottenCount

    /** True if the attempt is known to be sealed. */
    fun isSealed(attemptId: String): Boolean = settledStates[attemptId] == Settled.REFUSED

    /** True if the attempt ended here, or, very rarely, if it only seems so. */
    fun mayHaveSeen(attemptId: String): Boolean = attemptId in settledStates || forgotten.mightContain(attemptId)

    /** Remembers that the attempt will never run. */
    fun refuse(attemptId: String): Unit = settle(attemptId, Settled.REFUSED)

    /** Remembers that the attempt has ended, and its answer within the limits. */
    fun finish(attemptId: String, answer: A?, answerBytes: Long) {
        settle(attemptId, Settled.DONE)
        if (answer != null) answers.retain(attemptId, answer, answerBytes)
    }

    /** Seals an attempt that is not live. */
    fun seal(attemptId: String): AttemptStatus<A> =
        when (settledStates[attemptId]) {
            Settled.DONE -> AttemptStatus.Finished(answers[attemptId])
            Settled.REFUSED -> AttemptStatus.Sealed
            null -> sealUnknown(attemptId)
        }

    private fun sealUnknown(attemptId: String): AttemptStatus<A> {
        if (forgotten.mightContain(attemptId) || isFull) return AttemptStatus.Undetermined
        refuse(attemptId)
        return AttemptStatus.Sealed
    }

    private fun settle(attemptId: String, state: Settled) {
        settledStates[attemptId] = state
        if (settledStates.size > limits.maxStateEntries) forgetOldest()
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

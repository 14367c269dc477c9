package org.medlarhook.core.attempt

import com.google.common.hash.BloomFilter
import com.google.common.hash.Funnels

/** The ended attempts of one incarnation: recent ones with their outcome, older ones in a Bloom filter. */
internal class IncarnationAttempts<A>(
    val incarnation: Long,
    private val limits: AttemptTableLimits,
) {
    private enum class Outcome { REFUSED, DONE }

    private val outcomes = LinkedHashMap<String, Outcome>()
    private val answers = RetainedAnswers<A>(limits.maxAnswers, limits.maxAnswerBytes)
    private val olderFilter =
        BloomFilter.create(Funnels.unencodedCharsFunnel(), limits.maxFilterEntries, FALSE_POSITIVE_RATE)
    private var olderCount = 0

    /** The number of attempts of this incarnation that are accepted or running. */
    var liveCount = 0

    /** The share of the entries in use, from 0 to 1. Live attempts count, as each needs an entry when it ends. */
    val usedShare: Double get() = usedEntries.toDouble() / (limits.maxStateEntries + limits.maxFilterEntries)

    /** True if no entry is left for another attempt. */
    val isFull: Boolean get() = usedEntries >= limits.maxStateEntries + limits.maxFilterEntries

    private val usedEntries get() = liveCount + outcomes.size + olderCount

    /** True if the attempt is sealed and its outcome has not moved to the filter. */
    fun isSealed(attemptId: String): Boolean = outcomes[attemptId] == Outcome.REFUSED

    /** True if the attempt ended in this incarnation, or if the filter gives a false positive. */
    fun mayHaveReceived(attemptId: String): Boolean = attemptId in outcomes || olderFilter.mightContain(attemptId)

    /** Records that the attempt never runs. */
    fun refuse(attemptId: String): Unit = recordOutcome(attemptId, Outcome.REFUSED)

    /** Records that the attempt has ended, and retains [answer] within the limits. */
    fun finish(attemptId: String, answer: A?, answerBytes: Long) {
        recordOutcome(attemptId, Outcome.DONE)
        if (answer != null) answers.retain(attemptId, answer, answerBytes)
    }

    /** Seals an attempt that is neither accepted nor running, unless it has ended. */
    fun seal(attemptId: String): AttemptStatus<A> =
        when (outcomes[attemptId]) {
            Outcome.DONE -> AttemptStatus.Finished(answers[attemptId])
            Outcome.REFUSED -> AttemptStatus.Sealed
            null -> sealUnknown(attemptId)
        }

    private fun sealUnknown(attemptId: String): AttemptStatus<A> {
        if (olderFilter.mightContain(attemptId) || isFull) return AttemptStatus.Undetermined
        refuse(attemptId)
        return AttemptStatus.Sealed
    }

    private fun recordOutcome(attemptId: String, outcome: Outcome) {
        outcomes[attemptId] = outcome
        if (outcomes.size > limits.maxStateEntries) moveOldestToFilter()
    }

    private fun moveOldestToFilter() {
        val oldestId = outcomes.keys.first()
        outcomes.remove(oldestId)
        answers.evict(oldestId)
        olderFilter.put(oldestId)
        olderCount++
    }

    private companion object {
        const val FALSE_POSITIVE_RATE = 1e-6
    }
}

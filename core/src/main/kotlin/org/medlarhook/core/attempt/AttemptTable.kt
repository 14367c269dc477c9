package org.medlarhook.core.attempt

/**
 * The bounded memory of the attempts of one sidecar.
 *
 * Recent attempts are held with their state. Older ones move to a Bloom filter, which errs only towards "seen
 * before": such an attempt neither starts nor is sealed. Once the filter is full, unknown attempts are neither accepted
 * nor sealed, as dropping any would allow a second start. Before that the owner takes a new incarnation and renews the
 * table, which refuses all attempts of earlier ones.
 */
public class AttemptTable<A>(
    private val firstIncarnation: Long,
    private val limits: AttemptTableLimits,
) : AttemptRegistry<A> {
    private class Live<A>(
        val generation: AttemptGeneration<A>,
        var isRunning: Boolean = false,
    )

    private val live = HashMap<String, Live<A>>()
    private var current = AttemptGeneration<A>(firstIncarnation, limits)
    private var previous: AttemptGeneration<A>? = null

    override val usedShare: Double get() = current.usedShare

    override fun renew(incarnation: Long) {
        require(incarnation > current.incarnation) { "incarnations only grow" }
        previous = current
        current = AttemptGeneration(incarnation, limits)
    }

    override fun accept(attemptId: String, incarnation: Long): Acceptance =
        when {
            attemptId in live -> Acceptance.DUPLICATE
            incarnation != current.incarnation -> acceptEarlier(attemptId, incarnation)
            current.isSealed(attemptId) -> Acceptance.SEALED
            current.mayHaveSeen(attemptId) -> Acceptance.DUPLICATE
            current.isFull -> Acceptance.EXHAUSTED
            else -> Acceptance.ACCEPTED.also { addLive(attemptId) }
        }

    override fun start(attemptId: String): Boolean {
        val attempt = live[attemptId] ?: return false
        if (attempt.isRunning) return false
        attempt.isRunning = true
        return true
    }

    override fun abandon(attemptId: String): Boolean {
        if (live[attemptId]?.isRunning != false) return false
        removeLive(attemptId).refuse(attemptId)
        return true
    }

    override fun finish(attemptId: String, answer: A?, answerBytes: Long) {
        check(live[attemptId]?.isRunning == true) { "attempt $attemptId does not run" }
        removeLive(attemptId).finish(attemptId, answer, answerBytes)
    }

    override fun seal(attemptId: String, incarnation: Long): AttemptStatus<A> {
        val generation = generation(incarnation) ?: return AttemptStatus.Undetermined
        val attempt = live[attemptId]
        return when {
            attempt == null -> generation.seal(attemptId)
            attempt.isRunning -> AttemptStatus.Running
            else -> AttemptStatus.Sealed.also { abandon(attemptId) }
        }
    }

    /** An attempt of a generation that this table has dropped may have run here. */
    private fun acceptEarlier(attemptId: String, incarnation: Long): Acceptance {
        val isDropped = incarnation in firstIncarnation..<current.incarnation
        val mayHaveRun = generation(incarnation)?.mayHaveSeen(attemptId) ?: isDropped
        return if (mayHaveRun) Acceptance.DUPLICATE else Acceptance.WRONG_INCARNATION
    }

    private fun generation(incarnation: Long): AttemptGeneration<A>? =
        when (incarnation) {
            current.incarnation -> current
            previous?.incarnation -> previous
            else -> null
        }

    private fun addLive(attemptId: String) {
        live[attemptId] = Live(current)
        current.liveCount++
    }

    private fun removeLive(attemptId: String): AttemptGeneration<A> {
        val generation = live.remove(attemptId)?.generation ?: error("attempt $attemptId is not live")
        generation.liveCount--
        return generation
    }
}

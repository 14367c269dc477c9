package org.medlarhook.core.attempt

/**
 * An [AttemptRegistry] of bounded size for one sidecar.
 *
 * Recent attempts are kept with their state. Older ones move to a Bloom filter, whose only error is a false "received
 * before": such an attempt is neither started nor sealed. Once the filter is full, unknown attempts are neither
 * accepted nor sealed, as evicting an entry would allow a second start of its attempt. Before that, the owner registers
 * a new incarnation and calls [renew]; the table then refuses all attempts sent to earlier incarnations.
 */
public class AttemptTable<A>(
    private val firstIncarnation: Long,
    private val limits: AttemptTableLimits,
) : AttemptRegistry<A> {
    private class LiveAttempt<A>(
        val attempts: IncarnationAttempts<A>,
        var isRunning: Boolean = false,
    )

    /** The attempts that are accepted or running. */
    private val live = HashMap<String, LiveAttempt<A>>()
    private var current = IncarnationAttempts<A>(firstIncarnation, limits)
    private var previous: IncarnationAttempts<A>? = null

    override val usedShare: Double get() = current.usedShare

    override fun renew(incarnation: Long) {
        require(incarnation > current.incarnation) {
            "the incarnation must be above ${current.incarnation}, but is $incarnation"
        }
        previous = current
        current = IncarnationAttempts(incarnation, limits)
    }

    override fun accept(attemptId: String, incarnation: Long): Acceptance =
        when {
            attemptId in live -> Acceptance.DUPLICATE
            incarnation != current.incarnation -> acceptEarlier(attemptId, incarnation)
            current.isSealed(attemptId) -> Acceptance.SEALED
            current.mayHaveReceived(attemptId) -> Acceptance.DUPLICATE
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
        check(live[attemptId]?.isRunning == true) { "attempt $attemptId can't finish: it is not running" }
        removeLive(attemptId).finish(attemptId, answer, answerBytes)
    }

    override fun seal(attemptId: String, incarnation: Long): AttemptStatus<A> {
        val attempts = attemptsOf(incarnation) ?: return AttemptStatus.Undetermined
        val attempt = live[attemptId]
        return when {
            attempt == null -> attempts.seal(attemptId)
            attempt.isRunning -> AttemptStatus.Running
            else -> AttemptStatus.Sealed.also { abandon(attemptId) }
        }
    }

    /** Attempts of incarnations before the previous one are no longer kept, so they may have run here. */
    private fun acceptEarlier(attemptId: String, incarnation: Long): Acceptance {
        val isNoLongerKept = incarnation in firstIncarnation..<current.incarnation
        val mayHaveRun = attemptsOf(incarnation)?.mayHaveReceived(attemptId) ?: isNoLongerKept
        return if (mayHaveRun) Acceptance.DUPLICATE else Acceptance.WRONG_INCARNATION
    }

    private fun attemptsOf(incarnation: Long): IncarnationAttempts<A>? =
        when (incarnation) {
            current.incarnation -> current
            previous?.incarnation -> previous
            else -> null
        }

    private fun addLive(attemptId: String) {
        live[attemptId] = LiveAttempt(current)
        current.liveCount++
    }

    private fun removeLive(attemptId: String): IncarnationAttempts<A> {
        val attempts = live.remove(attemptId)?.attempts ?: error("attempt $attemptId is not accepted or running")
        attempts.liveCount--
        return attempts
    }
}

package org.medlarhook.core.attempt

import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/**
 * Combines the registry, the queue and the slots of one upstream, so that each attempt gets exactly one final answer.
 *
 * An attempt is refused as [RunState.NOT_RUN] only after the registry has sealed it, so that no later copy of it can
 * start. The functions return the effects that the caller must carry out. Not thread-safe.
 */
public class AttemptDispatcher<A>(
    private val registry: AttemptRegistry<A>,
    private val scheduler: AttemptScheduler,
) {
    private var isDraining = false
    private var isAvailable = true

    /** The current number of running and queued attempts, with the queued tokens and the upstream's speed. */
    public val load: SchedulerLoad get() = scheduler.load

    /** True if no attempt is running or queued. */
    public val isIdle: Boolean get() = scheduler.isIdle

    /** The share of the memory for attempts that is in use, from 0 to 1. */
    public val usedShare: Double get() = registry.usedShare

    /** See [AttemptRegistry.renew]. */
    public fun renew(incarnation: Long): Unit = registry.renew(incarnation)

    /** Queues or refuses an attempt that arrived, and starts queued attempts while slots are free. */
    public fun submit(work: AttemptWork, incarnation: Long, nowMs: Long): List<AttemptEffect> {
        val acceptance = registry.accept(work.attemptId, incarnation)
        if (acceptance != Acceptance.ACCEPTED) return listOf(AttemptEffect.Refuse(work.attemptId, acceptance.failure()))
        val blocked = blockedFailure()
        if (blocked != null) return listOf(refuse(work.attemptId, blocked))
        return when (val result = scheduler.submit(work, nowMs)) {
            is SubmitResult.Refused -> listOf(refuse(work.attemptId, result.failure))
            is SubmitResult.Queued -> refuseDisplaced(result) + startQueued(nowMs)
        }
    }

    /** Ends a running attempt, retains its [answer] for a later [seal], and starts a queued attempt in its slot. */
    public fun finish(
        attemptId: String,
        answer: A?,
        answerBytes: Long,
        nowMs: Long,
    ): List<AttemptEffect> {
        registry.finish(attemptId, answer, answerBytes)
        scheduler.release(attemptId)
        return startQueued(nowMs)
    }

    /** Refuses the queued attempts whose deadline has passed at [nowMs]. */
    public fun expire(nowMs: Long): List<AttemptEffect> {
        val failure = Failure(ResultCode.DEADLINE_EXCEEDED, RunState.NOT_RUN)
        return scheduler.expire(nowMs).map { refuse(it.attemptId, failure) }
    }

    /** Cancels an attempt whose caller has disconnected: removes it from the queue, or stops its running call. */
    public fun cancel(attemptId: String): List<AttemptEffect> {
        val removed = scheduler.remove(attemptId) ?: return listOf(AttemptEffect.Stop(attemptId))
        return listOf(refuse(removed.attemptId, Failure(ResultCode.CANCELLED, RunState.NOT_RUN)))
    }

    /** Seals the attempt unless it has started, and refuses it if it was queued. */
    public fun seal(attemptId: String, incarnation: Long): SealOutcome<A> {
        val status = registry.seal(attemptId, incarnation)
        val isWaiting = status == AttemptStatus.Sealed && scheduler.remove(attemptId) != null
        val failure = Failure(ResultCode.ATTEMPT_SEALED, RunState.NOT_RUN)
        return SealOutcome(status, if (isWaiting) listOf(AttemptEffect.Refuse(attemptId, failure)) else emptyList())
    }

    /** Starts no more attempts and refuses the queued ones. */
    public fun drain(): List<AttemptEffect> {
        isDraining = true
        return refuseQueued(draining())
    }

    /** Sets whether the upstream answers its health probe. While it does not, no attempt is started or queued. */
    public fun setAvailable(available: Boolean): List<AttemptEffect> {
        isAvailable = available
        return if (available) emptyList() else refuseQueued(unavailable())
    }

    /** Applies [update] to the estimate of the upstream's speed, with the measurements of a finished attempt. */
    public fun updateSpeeds(update: SpeedEstimate.() -> Unit): Unit = scheduler.speeds.update()

    private fun startQueued(nowMs: Long): List<AttemptEffect> {
        if (isDraining || !isAvailable) return emptyList()
        val started = generateSequence { scheduler.next(nowMs) }.toList()
        return started.map { work ->
            check(registry.start(work.attemptId)) { "queued attempt ${work.attemptId} is sealed or has started" }
            AttemptEffect.Start(work)
        }
    }

    private fun refuseDisplaced(result: SubmitResult.Queued): List<AttemptEffect> =
        listOfNotNull(result.displaced?.let { refuse(it.attemptId, displaced()) })

    private fun refuseQueued(failure: Failure): List<AttemptEffect> =
        scheduler.removeAll().map { refuse(it.attemptId, failure) }

    private fun refuse(attemptId: String, failure: Failure): AttemptEffect {
        check(registry.abandon(attemptId)) { "attempt $attemptId can't be refused as not run: it has started" }
        return AttemptEffect.Refuse(attemptId, failure)
    }

    private fun blockedFailure(): Failure? =
        when {
            isDraining -> draining()
            !isAvailable -> unavailable()
            else -> null
        }

    private fun draining() = Failure(ResultCode.DRAINING, RunState.NOT_RUN, retryAfterMs = RETRY_ELSEWHERE_MS)

    private fun unavailable() = Failure(ResultCode.UPSTREAM_FAILED, RunState.NOT_RUN, retryAfterMs = RETRY_ELSEWHERE_MS)

    private fun displaced() = Failure(ResultCode.QUEUE_FULL, RunState.NOT_RUN, retryAfterMs = RETRY_ELSEWHERE_MS)

    private fun Acceptance.failure(): Failure =
        when (this) {
            Acceptance.ACCEPTED -> error("an accepted attempt has no failure")
            Acceptance.SEALED -> Failure(ResultCode.ATTEMPT_SEALED, RunState.NOT_RUN)
            Acceptance.DUPLICATE -> Failure(ResultCode.DUPLICATE_ATTEMPT, RunState.UNKNOWN)
            Acceptance.WRONG_INCARNATION -> Failure(ResultCode.WRONG_INCARNATION, RunState.NOT_RUN)
            Acceptance.EXHAUSTED -> Failure(ResultCode.QUEUE_FULL, RunState.NOT_RUN, retryAfterMs = RETRY_ELSEWHERE_MS)
        }

    private companion object {
        const val RETRY_ELSEWHERE_MS = 1_000L
    }
}

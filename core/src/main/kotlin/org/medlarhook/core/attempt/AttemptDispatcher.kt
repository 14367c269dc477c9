package org.medlarhook.core.attempt

import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/**
 * Carries each attempt from its arrival to one final answer: registry, queue and slots together.
 *
 * A refusal as "not run" is given only to an attempt that the registry has sealed, so that it stays true. All
 * functions return what the caller must do. Not thread-safe.
 */
public class AttemptDispatcher<A>(
    private val registry: AttemptRegistry<A>,
    private val scheduler: AttemptScheduler,
) {
    private var isDraining = false
    private var isAvailable = true

    /** The present load. */
    public val load: SchedulerLoad get() = scheduler.load

    /** True once no work runs or waits. */
    public val isIdle: Boolean get() = scheduler.isIdle

    /** The share of the attempt memory in use. */
    public val usedShare: Double get() = registry.usedShare

    /** See [AttemptRegistry.renew]. */
    public fun renew(incarnation: Long): Unit = registry.renew(incarnation)

    /** Takes an attempt that arrived. */
    public fun submit(work: AttemptWork, incarnation: Long, nowMs: Long): List<AttemptEffect> {
        val acceptance = registry.accept(work.attemptId, incarnation)
        if (acceptance != Acceptance.ACCEPTED) return listOf(AttemptEffect.Refuse(work.attemptId, acceptance.failure()))
        val standing = standingRefusal()
        if (standing != null) return listOf(refuse(work.attemptId, standing))
        return when (val result = scheduler.submit(work, nowMs)) {
            is SubmitResult.Refused -> listOf(refuse(work.attemptId, result.failure))
            is SubmitResult.Queued -> refuseDisplaced(result) + fill(nowMs)
        }
    }

    /** Ends a running attempt with the [answer] to be retained, and fills its slot. */
    public fun finish(
        attemptId: String,
        answer: A?,
        answerBytes: Long,
        nowMs: Long,
    ): List<AttemptEffect> {
        registry.finish(attemptId, answer, answerBytes)
        scheduler.release(attemptId)
        return fill(nowMs)
    }

    /** Refuses the queued attempts whose deadline has passed. */
    public fun expire(nowMs: Long): List<AttemptEffect> {
        val failure = Failure(ResultCode.DEADLINE_EXCEEDED, RunState.NOT_RUN)
        return scheduler.expire(nowMs).map { refuse(it.attemptId, failure) }
    }

    /** Cancels an attempt whose caller has left: removes it from the queue, or stops its call. */
    public fun cancel(attemptId: String): List<AttemptEffect> {
        val removed = scheduler.remove(attemptId) ?: return listOf(AttemptEffect.Stop(attemptId))
        return listOf(refuse(removed.attemptId, Failure(ResultCode.CANCELLED, RunState.NOT_RUN)))
    }

    /** Seals an attempt unless it has started. */
    public fun seal(attemptId: String, incarnation: Long): SealOutcome<A> {
        val status = registry.seal(attemptId, incarnation)
        val isWaiting = status == AttemptStatus.Sealed && scheduler.remove(attemptId) != null
        val failure = Failure(ResultCode.ATTEMPT_SEALED, RunState.NOT_RUN)
        return SealOutcome(status, if (isWaiting) listOf(AttemptEffect.Refuse(attemptId, failure)) else emptyList())
    }

    /** Starts nothing from now on and refuses what waits. */
    public fun drain(): List<AttemptEffect> {
        isDraining = true
        return refuseQueued(draining())
    }

    /** Says whether the upstream answers its health probe; while it does not, nothing starts or waits. */
    public fun setAvailable(available: Boolean): List<AttemptEffect> {
        isAvailable = available
        return if (available) emptyList() else refuseQueued(unavailable())
    }

    /** Lets [update] take in what a finished attempt showed of the upstream's speed. */
    public fun updateSpeeds(update: SpeedEstimate.() -> Unit): Unit = scheduler.speeds.update()

    private fun fill(nowMs: Long): List<AttemptEffect> {
        if (isDraining || !isAvailable) return emptyList()
        val started = generateSequence { scheduler.next(nowMs) }.toList()
        return started.map { work ->
            check(registry.start(work.attemptId)) { "attempt ${work.attemptId} may not start" }
            AttemptEffect.Start(work)
        }
    }

    private fun refuseDisplaced(result: SubmitResult.Queued): List<AttemptEffect> =
        listOfNotNull(result.displaced?.let { refuse(it.attemptId, displaced()) })

    private fun refuseQueued(failure: Failure): List<AttemptEffect> =
        scheduler.removeAll().map { refuse(it.attemptId, failure) }

    private fun refuse(attemptId: String, failure: Failure): AttemptEffect {
        check(registry.abandon(attemptId)) { "attempt $attemptId has started" }
        return AttemptEffect.Refuse(attemptId, failure)
    }

    private fun standingRefusal(): Failure? =
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
            Acceptance.ACCEPTED -> error("an accepted attempt is no failure")
            Acceptance.SEALED -> Failure(ResultCode.ATTEMPT_SEALED, RunState.NOT_RUN)
            Acceptance.DUPLICATE -> Failure(ResultCode.DUPLICATE_ATTEMPT, RunState.UNKNOWN)
            Acceptance.WRONG_INCARNATION -> Failure(ResultCode.WRONG_INCARNATION, RunState.NOT_RUN)
            Acceptance.EXHAUSTED -> Failure(ResultCode.QUEUE_FULL, RunState.NOT_RUN, retryAfterMs = RETRY_ELSEWHERE_MS)
        }

    private companion object {
        const val RETRY_ELSEWHERE_MS = 1_000L
    }
}

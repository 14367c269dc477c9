package org.medlarhook.core.attempt

/**
 * A thread-safe [AttemptDispatcher].
 *
 * Lock order: the lock of this class is the innermost one. It is held for one call of the dispatcher only; the caller
 * carries out the effects, and acquires locks of its own, after it has been released.
 */
public class SharedDispatcher<A>(
    private val dispatcher: AttemptDispatcher<A>,
) {
    private val lock = Any()

    /** See [AttemptDispatcher.load]. */
    public val load: SchedulerLoad get() = synchronized(lock) { dispatcher.load }

    /** See [AttemptDispatcher.isIdle]. */
    public val isIdle: Boolean get() = synchronized(lock) { dispatcher.isIdle }

    /** See [AttemptDispatcher.usedShare]. */
    public val usedShare: Double get() = synchronized(lock) { dispatcher.usedShare }

    /** See [AttemptDispatcher.renew]. */
    public fun renew(incarnation: Long): Unit = synchronized(lock) { dispatcher.renew(incarnation) }

    /** See [AttemptDispatcher.submit]. */
    public fun submit(work: AttemptWork, incarnation: Long, nowMs: Long): List<AttemptEffect> =
        synchronized(lock) { dispatcher.submit(work, incarnation, nowMs) }

    /** See [AttemptDispatcher.finish]. */
    public fun finish(
        attemptId: String,
        answer: A?,
        answerBytes: Long,
        nowMs: Long,
    ): List<AttemptEffect> = synchronized(lock) { dispatcher.finish(attemptId, answer, answerBytes, nowMs) }

    /** See [AttemptDispatcher.expire]. */
    public fun expire(nowMs: Long): List<AttemptEffect> = synchronized(lock) { dispatcher.expire(nowMs) }

    /** See [AttemptDispatcher.cancel]. */
    public fun cancel(attemptId: String): List<AttemptEffect> = synchronized(lock) { dispatcher.cancel(attemptId) }

    /** See [AttemptDispatcher.seal]. */
    public fun seal(attemptId: String, incarnation: Long): SealOutcome<A> =
        synchronized(lock) { dispatcher.seal(attemptId, incarnation) }

    /** See [AttemptDispatcher.drain]. */
    public fun drain(): List<AttemptEffect> = synchronized(lock) { dispatcher.drain() }

    /** See [AttemptDispatcher.setAvailable]. */
    public fun setAvailable(available: Boolean): List<AttemptEffect> =
        synchronized(lock) { dispatcher.setAvailable(available) }

    /** See [AttemptDispatcher.updateSpeeds]. */
    public fun updateSpeeds(update: SpeedEstimate.() -> Unit): Unit =
        synchronized(lock) { dispatcher.updateSpeeds(update) }
}

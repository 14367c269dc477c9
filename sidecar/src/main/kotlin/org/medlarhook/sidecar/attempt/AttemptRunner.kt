package org.medlarhook.sidecar.attempt

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.attempt.AttemptEffect
import org.medlarhook.core.attempt.SharedDispatcher
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.ports.TimeSource
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.sidecar.operators.SidecarMetrics
import org.medlarhook.sidecar.rpc.toMessage
import org.medlarhook.sidecar.rpc.toSealAnswer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/**
 * Applies the dispatcher's decisions. Attempts run on worker threads, queued attempts hold no thread, and a timer
 * refuses queued attempts whose deadline has passed.
 *
 * Lock order: no task is called while the dispatcher's lock is held.
 */
internal class AttemptRunner(
    private val dispatcher: SharedDispatcher<ServiceAnswer>,
    private val workers: Executor,
    private val timer: ScheduledExecutorService,
    private val time: TimeSource,
    private val metrics: SidecarMetrics,
) {
    private val logger = KotlinLogging.logger {}
    private val tasks = ConcurrentHashMap<String, AttemptTask>()

    /** Submits [task], which the entry addressed to [incarnation] of this sidecar. */
    fun submit(task: AttemptTask, incarnation: Long) {
        val id = task.work.attemptId
        if (tasks.putIfAbsent(id, task) != null) {
            answerRefusal(task, Failure(ResultCode.DUPLICATE_ATTEMPT, RunState.UNKNOWN))
            return
        }
        val nowMs = time.monotonicMs()
        val effects = dispatcher.submit(task.work, incarnation, nowMs)
        perform(effects)
        if (effects.none { it.attemptId == id }) scheduleExpiry(task.work.deadlineMs, nowMs)
    }

    /** Cancels an attempt whose caller has disconnected. */
    fun cancel(attemptId: String): Unit = perform(dispatcher.cancel(attemptId))

    /** Returns the state of an attempt, and refuses it for good if it has not started. */
    fun seal(attemptId: String, incarnation: Long): SealAnswer {
        val outcome = dispatcher.seal(attemptId, incarnation)
        perform(outcome.effects)
        return outcome.status.toSealAnswer()
    }

    /** Starts no further attempts. */
    fun drain(): Unit = perform(dispatcher.drain())

    /** Sets whether new attempts may start; false while the health probe fails or an order closes the intake. */
    fun setAvailable(available: Boolean): Unit = perform(dispatcher.setAvailable(available))

    /** Calls [AttemptTask.stop] on all unfinished attempts. */
    fun stopAll() {
        tasks.values.forEach { it.stop() }
    }

    /** True once every attempt has received its final answer. */
    fun isIdle(): Boolean = dispatcher.isIdle && tasks.isEmpty()

    /** Returns the unfinished attempts, for state dumps. */
    fun unfinishedAttempts(): List<AttemptTask> = tasks.values.toList()

    private fun perform(effects: List<AttemptEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is AttemptEffect.Start -> workers.execute { run(tasks.getValue(effect.attemptId)) }
                is AttemptEffect.Refuse -> tasks.remove(effect.attemptId)?.let { answerRefusal(it, effect.failure) }
                is AttemptEffect.Stop -> tasks[effect.attemptId]?.stop()
            }
        }
    }

    private fun run(task: AttemptTask) {
        val end = runCatchingExceptions(task)
        val retainedBytes = end.retainedAnswer?.serializedSize?.toLong() ?: 0
        val effects = dispatcher.finish(task.work.attemptId, end.retainedAnswer, retainedBytes, time.monotonicMs())
        perform(effects)
        metrics.ended(end.code)
        end.deliver(dispatcher.load.toMessage())
        tasks.remove(task.work.attemptId)
    }

    /** Turns an unexpected exception into a failure, because the attempt would otherwise keep its slot. */
    private fun runCatchingExceptions(task: AttemptTask): AttemptEnd =
        try {
            task.run()
        } catch (e: RuntimeException) {
            logger.warnEvent(LogEvent.ATTEMPT_FAILED, "attempt" to task.work.attemptId, "cause" to e.toString())
            val failure = Failure(ResultCode.INTERNAL, RunState.UNKNOWN)
            AttemptEnd(failure.code, retainedAnswer = null) { task.refuse(failure) }
        }

    private fun answerRefusal(task: AttemptTask, failure: Failure) {
        metrics.ended(failure.code)
        task.refuse(failure)
    }

    private fun scheduleExpiry(deadlineMs: Long, nowMs: Long) {
        timer.schedule({ perform(dispatcher.expire(time.monotonicMs())) }, deadlineMs - nowMs, TimeUnit.MILLISECONDS)
    }
}

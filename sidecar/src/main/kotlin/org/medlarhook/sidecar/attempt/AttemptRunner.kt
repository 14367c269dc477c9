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
 * Carries out what the dispatcher decides: workers run attempts, waiting attempts hold no thread, and a timer answers
 * those whose deadline passes in the queue.
 *
 * Lock order: the dispatcher's lock is never held while a task is called.
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

    /** Takes [task], which is for the sidecar's [incarnation]. */
    fun submit(task: AttemptTask, incarnation: Long) {
        val id = task.work.attemptId
        if (tasks.putIfAbsent(id, task) != null) {
            answerRefusal(task, Failure(ResultCode.DUPLICATE_ATTEMPT, RunState.UNKNOWN))
            return
        }
        val nowMs = time.monotonicMs()
        val effects = dispatcher.submit(task.work, incarnation, nowMs)
        perform(effects)
        if (effects.none { it.attemptId == id }) expireAt(task.work.deadlineMs, nowMs)
    }

    /** Cancels an attempt whose caller has left. */
    fun cancel(attemptId: String): Unit = perform(dispatcher.cancel(attemptId))

    /** Seals an attempt. */
    fun seal(attemptId: String, incarnation: Long): SealAnswer {
        val outcome = dispatcher.seal(attemptId, incarnation)
        perform(outcome.effects)
        return outcome.status.toSealAnswer()
    }

    /** Starts nothing from now on. */
    fun drain(): Unit = perform(dispatcher.drain())

    /** Says whether the upstream answers its health probe. */
    fun setAvailable(available: Boolean): Unit = perform(dispatcher.setAvailable(available))

    /** Cancels all that runs. */
    fun stopAll() {
        tasks.values.forEach { it.stop() }
    }

    /** True once each attempt has its final answer. */
    fun isIdle(): Boolean = dispatcher.isIdle && tasks.isEmpty()

    /** The ids and kinds of the attempts at hand, for dumps. */
    fun openAttempts(): List<AttemptTask> = tasks.values.toList()

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
        val end = runGuarded(task)
        val retainedBytes = end.retained?.serializedSize?.toLong() ?: 0
        val effects = dispatcher.finish(task.work.attemptId, end.retained, retainedBytes, time.monotonicMs())
        perform(effects)
        metrics.ended(end.code)
        end.deliver(dispatcher.load.toMessage())
        tasks.remove(task.work.attemptId)
    }

    /** A fault of this program must not keep the slot. */
    private fun runGuarded(task: AttemptTask): AttemptEnd =
        try {
            task.run()
        } catch (e: RuntimeException) {
            logger.warnEvent(LogEvent.ATTEMPT_FAILED, "attempt" to task.work.attemptId, "cause" to e.toString())
            val failure = Failure(ResultCode.INTERNAL, RunState.UNKNOWN)
            AttemptEnd(failure.code, retained = null) { task.refuse(failure) }
        }

    private fun answerRefusal(task: AttemptTask, failure: Failure) {
        metrics.ended(failure.code)
        task.refuse(failure)
    }

    private fun expireAt(deadlineMs: Long, nowMs: Long) {
        timer.schedule({ perform(dispatcher.expire(time.monotonicMs())) }, deadlineMs - nowMs, TimeUnit.MILLISECONDS)
    }
}

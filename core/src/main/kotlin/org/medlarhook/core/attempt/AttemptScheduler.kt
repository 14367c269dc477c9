package org.medlarhook.core.attempt

import org.medlarhook.core.fairness.OfferResult
import org.medlarhook.core.fairness.RequestQueue
import org.medlarhook.core.fairness.Ticket
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import kotlin.math.ceil

/**
 * The queue and the batch slots of one upstream. An attempt is admitted only if it is predicted to finish before its
 * deadline. Not thread-safe.
 */
public class AttemptScheduler(
    private val slots: Int,
    private val queue: RequestQueue<AttemptWork>,
    /** Estimate of the upstream's speed from finished attempts. */
    public val speeds: SpeedEstimate,
) {
    private class Running(
        val work: AttemptWork,
        val expectedEndMs: Double,
    )

    private val ticketById = HashMap<String, Ticket>()
    private val runningById = HashMap<String, Running>()
    private val backlog = QueuedBacklog()

    /** True if no attempt is running or queued. */
    public val isIdle: Boolean get() = runningById.isEmpty() && ticketById.isEmpty()

    /** The current number of running and queued attempts, with the queued tokens and the upstream's speed. */
    public val load: SchedulerLoad
        get() =
            SchedulerLoad(
                running = runningById.size,
                queued = ticketById.size,
                queuedPrefillTokens = backlog.promptTokens,
                queuedDecodeTokens = backlog.outputTokens,
                prefillTokensPerS = speeds.prefillTokensPerS,
                decodeTokensPerS = speeds.decodeTokensPerS,
                slots = slots,
            )

    /** Queues [work], or refuses it with the time after which a retry can be admitted, if it ever can. */
    public fun submit(work: AttemptWork, nowMs: Long): SubmitResult {
        val waitMs = waitMs(work, nowMs)
        return deadlineFailure(work, waitMs, nowMs)?.let { SubmitResult.Refused(it) } ?: enqueue(work, waitMs, nowMs)
    }

    /** Moves the next attempt from the queue to a free slot; null if no slot is free or the queue is empty. */
    public fun next(nowMs: Long): AttemptWork? {
        if (runningById.size >= slots) return null
        val work = queue.poll(nowMs) ?: return null
        onDequeued(work)
        runningById[work.attemptId] = Running(work, nowMs + speeds.runMs(work))
        return work
    }

    /** Frees the slot of an attempt, if it has one. */
    public fun release(attemptId: String) {
        runningById.remove(attemptId)
    }

    /** Removes an attempt from the queue; null if it is not queued. */
    public fun remove(attemptId: String): AttemptWork? =
        ticketById[attemptId]?.let { queue.remove(it) }?.also { onDequeued(it) }

    /** Removes and returns the queued attempts whose deadline has passed at [nowMs]. */
    public fun expire(nowMs: Long): List<AttemptWork> = queue.expire(nowMs).onEach { onDequeued(it) }

    /** Removes and returns all queued attempts. */
    public fun removeAll(): List<AttemptWork> = ticketById.keys.toList().mapNotNull { remove(it) }

    /** The predicted time of [work] in the queue, in milliseconds. */
    public fun waitMs(work: AttemptWork, nowMs: Long): Double {
        if (runningById.size < slots && ticketById.isEmpty()) return 0.0
        val slotFreeMs = runningById.values.minOfOrNull { it.expectedEndMs - nowMs } ?: 0.0
        val slotWaitMs = if (runningById.size < slots) 0.0 else maxOf(0.0, slotFreeMs)
        return slotWaitMs + backlog.aheadMs(work, speeds, slots)
    }

    private fun deadlineFailure(work: AttemptWork, waitMs: Double, nowMs: Long): Failure? {
        val runMs = speeds.runMs(work)
        val remainingMs = work.deadlineMs - nowMs
        val excessMs = waitMs + runMs - remainingMs
        if (excessMs <= 0) return null
        val retryAfterMs = if (runMs > remainingMs) null else atLeastMinimum(excessMs)
        return Failure(ResultCode.DEADLINE_UNREACHABLE, RunState.NOT_RUN, retryAfterMs = retryAfterMs)
    }

    private fun enqueue(work: AttemptWork, waitMs: Double, nowMs: Long): SubmitResult {
        val offer =
            queue.offer(
                workspace = work.workspace,
                weight = work.weight,
                costTokens = work.costTokens,
                priority = work.priority,
                deadlineMs = work.deadlineMs,
                nowMs = nowMs,
                item = work,
            )
        return when (offer) {
            is OfferResult.Accepted -> accepted(work, offer)
            OfferResult.Full -> refused(ResultCode.QUEUE_FULL, atLeastMinimum(waitMs))
            OfferResult.Expired -> refused(ResultCode.DEADLINE_UNREACHABLE, null)
        }
    }

    private fun accepted(work: AttemptWork, offer: OfferResult.Accepted<AttemptWork>): SubmitResult {
        offer.displaced?.let { onDequeued(it) }
        ticketById[work.attemptId] = offer.ticket
        backlog.add(work)
        return SubmitResult.Queued(offer.displaced)
    }

    private fun refused(code: ResultCode, retryAfterMs: Long?): SubmitResult =
        SubmitResult.Refused(Failure(code, RunState.NOT_RUN, retryAfterMs = retryAfterMs))

    private fun onDequeued(work: AttemptWork) {
        ticketById.remove(work.attemptId)
        backlog.remove(work)
    }

    private fun atLeastMinimum(durationMs: Double): Long = maxOf(MIN_RETRY_AFTER_MS, ceil(durationMs).toLong())

    private companion object {
        const val MIN_RETRY_AFTER_MS = 50L
    }
}

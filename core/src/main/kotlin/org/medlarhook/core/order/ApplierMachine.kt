package org.medlarhook.core.order

import org.medlarhook.core.lease.Jitter
import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write

/**
 * State machine with which a sidecar applies the orders for its upstream.
 *
 * It applies only what the order row holds, one generation at a time, and writes the completion only when no earlier
 * copy of a call can reach the engine any more. The next generation is written after that. An engine that ignores
 * fencing numbers therefore never receives a copy of an old order after a new one, provided that no call reaches it
 * later than [ApplierSettings.engineSettleMs] after its answer was lost.
 *
 * An open order for an earlier incarnation is completed as failed after the same wait, counted from the start of this
 * sidecar. An order for this incarnation was written after the previous one was completed, so it needs no such wait.
 */
public class ApplierMachine(
    private val key: OrderKey,
    private val incarnation: Long,
    private val settings: ApplierSettings,
) {
    private val jitter = Jitter(settings.jitterPercent, "${key.upstreamId}/$incarnation")

    /** Returns the state of a sidecar that starts at [nowMs]; the first tick reads the row. */
    public fun start(nowMs: Long): ApplierState = ApplierState.Idle(0, nowMs + settings.engineSettleMs, nowMs)

    /** Returns the step that follows from [event] at [nowMs]. */
    public fun next(state: ApplierState, event: ApplierEvent, nowMs: Long): ApplierStep =
        when (state) {
            is ApplierState.Idle -> whileIdle(state, event, nowMs)
            is ApplierState.Applying -> whileApplying(state, event, nowMs)
            is ApplierState.Completing -> whileCompleting(state, event, nowMs)
        }

    private fun whileIdle(state: ApplierState.Idle, event: ApplierEvent, nowMs: Long): ApplierStep =
        when (event) {
            is ApplierEvent.Tick ->
                if (nowMs >= state.nextAtMs) ApplierStep(state, ApplierAction.ReadRow) else ApplierStep(state)
            is ApplierEvent.Hint -> ApplierStep(state, ApplierAction.ReadRow)
            is ApplierEvent.RowRead -> rowRead(state, event.row, nowMs)
            is ApplierEvent.ReadFailed -> ApplierStep(state.copy(nextAtMs = retryAt(nowMs)))
            is ApplierEvent.EngineAnswered, is ApplierEvent.Completed, is ApplierEvent.CompletionFailed ->
                ApplierStep(state)
        }

    private fun rowRead(state: ApplierState.Idle, row: Row?, nowMs: Long): ApplierStep {
        val order = row?.let { RowJson.decode<OrderRow>(it.value) } ?: return ApplierStep(idleUntilPoll(state, nowMs))
        return when {
            order.isCompleted -> ApplierStep(idleUntilPoll(state, nowMs, order.generation))
            order.generation <= state.completedGeneration -> ApplierStep(idleUntilPoll(state, nowMs))
            order.incarnation > incarnation -> ApplierStep(idleUntilPoll(state, nowMs))
            order.incarnation < incarnation -> ApplierStep(completedAsFailed(state, order, row.version))
            else -> callEngine(ApplierState.Applying(order, row.version, state.completedGeneration, nowMs, nowMs))
        }
    }

    private fun completedAsFailed(state: ApplierState.Idle, order: OrderRow, rowVersion: Long): ApplierState =
        ApplierState.Completing(
            completed = order.copy(status = OrderStatus.FAILED, detail = "the sidecar was restarted"),
            rowVersion = rowVersion,
            completedGeneration = state.completedGeneration,
            engineSettledAtMs = state.engineSettledAtMs,
            nextAtMs = state.engineSettledAtMs,
        )

    private fun callEngine(state: ApplierState.Applying): ApplierStep {
        val number = FencingNumber.of(incarnation, state.row.generation)
        return ApplierStep(state, ApplierAction.CallEngine(EngineOrder(number, state.row.generation, state.row.action)))
    }

    private fun whileApplying(state: ApplierState.Applying, event: ApplierEvent, nowMs: Long): ApplierStep =
        when (event) {
            is ApplierEvent.Tick -> if (nowMs >= state.nextAtMs) callEngine(state) else ApplierStep(state)
            is ApplierEvent.EngineAnswered -> engineAnswered(state, event.outcome, nowMs)
            is ApplierEvent.Hint, is ApplierEvent.RowRead, is ApplierEvent.ReadFailed,
            is ApplierEvent.Completed, is ApplierEvent.CompletionFailed,
            -> ApplierStep(state)
        }

    private fun engineAnswered(state: ApplierState.Applying, outcome: EngineOutcome, nowMs: Long): ApplierStep =
        when (outcome) {
            is EngineOutcome.Done -> complete(state, state.row.copy(status = OrderStatus.APPLIED), nowMs)
            is EngineOutcome.Refused ->
                complete(state, state.row.copy(status = OrderStatus.FAILED, detail = outcome.detail), nowMs)
            is EngineOutcome.Unknown ->
                ApplierStep(state.copy(engineSettledAtMs = nowMs + settings.engineSettleMs, nextAtMs = retryAt(nowMs)))
        }

    private fun complete(state: ApplierState.Applying, completed: OrderRow, nowMs: Long): ApplierStep {
        val next =
            ApplierState.Completing(
                completed = completed,
                rowVersion = state.rowVersion,
                completedGeneration = state.completedGeneration,
                engineSettledAtMs = state.engineSettledAtMs,
                nextAtMs = maxOf(nowMs, state.engineSettledAtMs),
            )
        return whileCompleting(next, ApplierEvent.Tick, nowMs)
    }

    private fun whileCompleting(state: ApplierState.Completing, event: ApplierEvent, nowMs: Long): ApplierStep =
        when (event) {
            is ApplierEvent.Tick ->
                if (nowMs >=
                    state.nextAtMs
                ) {
                    ApplierStep(state, ApplierAction.Complete(state.transaction()))
                } else {
                    ApplierStep(state)
                }
            is ApplierEvent.Completed ->
                ApplierStep(ApplierState.Idle(state.completed.generation, state.engineSettledAtMs, nowMs))
            is ApplierEvent.CompletionFailed -> ApplierStep(
                state.copy(nextAtMs = retryAt(nowMs)),
                ApplierAction.ReadRow,
            )
            is ApplierEvent.RowRead -> readBack(state, event.row, nowMs)
            is ApplierEvent.Hint, is ApplierEvent.ReadFailed, is ApplierEvent.EngineAnswered -> ApplierStep(state)
        }

    private fun readBack(state: ApplierState.Completing, row: Row?, nowMs: Long): ApplierStep =
        if (row?.version == state.rowVersion) {
            ApplierStep(state)
        } else {
            ApplierStep(ApplierState.Idle(state.completed.generation, state.engineSettledAtMs, nowMs))
        }

    private fun ApplierState.Completing.transaction(): Transaction =
        Transaction(
            conditions = listOf(Condition(key.orderRow, rowVersion)),
            writes = listOf(Write(key.orderRow, RowJson.encode(completed))),
        )

    private fun idleUntilPoll(
        state: ApplierState.Idle,
        nowMs: Long,
        completedGeneration: Long = state.completedGeneration,
    ): ApplierState =
        state.copy(
            completedGeneration = maxOf(completedGeneration, state.completedGeneration),
            nextAtMs = nowMs + jitter.spread(settings.pollEveryMs, nowMs),
        )

    private fun retryAt(nowMs: Long): Long = nowMs + jitter.spread(settings.retryMs, nowMs)
}

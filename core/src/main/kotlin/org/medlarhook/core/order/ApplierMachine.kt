package org.medlarhook.core.order

import org.medlarhook.core.lease.Jitter
import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write

/**
 * Decides what a sidecar does about the orders for its upstream.
 *
 * It obeys the row alone, one generation at a time, and writes the completion only when no earlier copy of a call can
 * reach the engine any more. As the next generation is written after that, an engine that ignores fencing numbers
 * never sees a copy of an old order behind a new one, if a call dies within [ApplierSettings.engineSettleMs].
 * An open order for an earlier incarnation is closed as failed after the same wait, counted from this sidecar's start;
 * an order for this incarnation was written after the one before it was closed, so it needs no such wait.
 */
public class ApplierMachine(
    private val key: OrderKey,
    private val incarnation: Long,
    private val settings: ApplierSettings,
) {
    private val jitter = Jitter(settings.jitterPercent, "${key.upstreamId}/$incarnation")

    /** The state of a sidecar that starts at [nowMs]; it reads the row first. */
    public fun start(nowMs: Long): ApplierState = ApplierState.Idle(0, nowMs + settings.engineSettleMs, nowMs)

    /** Returns what follows from [event] at [nowMs]. */
    public fun next(state: ApplierState, event: ApplierEvent, nowMs: Long): ApplierStep =
        when (state) {
            is ApplierState.Idle -> idle(state, event, nowMs)
            is ApplierState.Applying -> applying(state, event, nowMs)
            is ApplierState.Completing -> completing(state, event, nowMs)
        }

    private fun idle(state: ApplierState.Idle, event: ApplierEvent, nowMs: Long): ApplierStep =
        when (event) {
            is ApplierEvent.Tick ->
                if (nowMs >= state.nextAtMs) ApplierStep(state, ApplierAction.ReadRow) else ApplierStep(state)
            is ApplierEvent.Hint -> ApplierStep(state, ApplierAction.ReadRow)
            is ApplierEvent.RowRead -> read(state, event.row, nowMs)
            is ApplierEvent.ReadFailed -> ApplierStep(state.copy(nextAtMs = retryAt(nowMs)))
            is ApplierEvent.EngineAnswered, is ApplierEvent.Completed, is ApplierEvent.CompletionFailed ->
                ApplierStep(state)
        }

    private fun read(state: ApplierState.Idle, row: Row?, nowMs: Long): ApplierStep {
        val order = row?.let { RowJson.decode<OrderRow>(it.value) } ?: return ApplierStep(waiting(state, nowMs))
        return when {
            order.isCompleted -> ApplierStep(waiting(state, nowMs, order.generation))
            order.generation <= state.completedGeneration -> ApplierStep(waiting(state, nowMs))
            order.incarnation > incarnation -> ApplierStep(waiting(state, nowMs))
            order.incarnation < incarnation -> ApplierStep(abandoned(state, order, row.version))
            else -> call(ApplierState.Applying(order, row.version, state.completedGeneration, nowMs, nowMs))
        }
    }

    private fun abandoned(state: ApplierState.Idle, order: OrderRow, rowVersion: Long): ApplierState =
        ApplierState.Completing(
            completed = order.copy(status = OrderStatus.FAILED, detail = "the sidecar was restarted"),
            rowVersion = rowVersion,
            completedGeneration = state.completedGeneration,
            quietFromMs = state.quietFromMs,
            nextAtMs = state.quietFromMs,
        )

    private fun call(state: ApplierState.Applying): ApplierStep {
        val number = FencingNumber.of(incarnation, state.row.generation)
        return ApplierStep(state, ApplierAction.CallEngine(EngineOrder(number, state.row.generation, state.row.action)))
    }

    private fun applying(state: ApplierState.Applying, event: ApplierEvent, nowMs: Long): ApplierStep =
        when (event) {
            is ApplierEvent.Tick -> if (nowMs >= state.nextAtMs) call(state) else ApplierStep(state)
            is ApplierEvent.EngineAnswered -> answered(state, event.outcome, nowMs)
            is ApplierEvent.Hint, is ApplierEvent.RowRead, is ApplierEvent.ReadFailed,
            is ApplierEvent.Completed, is ApplierEvent.CompletionFailed,
            -> ApplierStep(state)
        }

    private fun answered(state: ApplierState.Applying, outcome: EngineOutcome, nowMs: Long): ApplierStep =
        when (outcome) {
            is EngineOutcome.Done -> complete(state, state.row.copy(status = OrderStatus.APPLIED), nowMs)
            is EngineOutcome.Refused ->
                complete(state, state.row.copy(status = OrderStatus.FAILED, detail = outcome.detail), nowMs)
            is EngineOutcome.Unknown ->
                ApplierStep(state.copy(quietFromMs = nowMs + settings.engineSettleMs, nextAtMs = retryAt(nowMs)))
        }

    private fun complete(state: ApplierState.Applying, completed: OrderRow, nowMs: Long): ApplierStep {
        val next =
            ApplierState.Completing(
                completed = completed,
                rowVersion = state.rowVersion,
                completedGeneration = state.completedGeneration,
                quietFromMs = state.quietFromMs,
                nextAtMs = maxOf(nowMs, state.quietFromMs),
            )
        return completing(next, ApplierEvent.Tick, nowMs)
    }

    private fun completing(state: ApplierState.Completing, event: ApplierEvent, nowMs: Long): ApplierStep =
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
                ApplierStep(ApplierState.Idle(state.completed.generation, state.quietFromMs, nowMs))
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
            ApplierStep(ApplierState.Idle(state.completed.generation, state.quietFromMs, nowMs))
        }

    private fun ApplierState.Completing.transaction(): Transaction =
        Transaction(
            conditions = listOf(Condition(key.orderRow, rowVersion)),
            writes = listOf(Write(key.orderRow, RowJson.encode(completed))),
        )

    private fun waiting(
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

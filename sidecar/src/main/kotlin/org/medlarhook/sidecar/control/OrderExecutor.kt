package org.medlarhook.sidecar.control

import org.medlarhook.core.order.EngineControl
import org.medlarhook.core.order.EngineOrder
import org.medlarhook.core.order.EngineOutcome
import org.medlarhook.core.order.FencingNumber
import org.medlarhook.core.order.OrderAction
import org.medlarhook.sidecar.engine.EngineAction
import org.medlarhook.sidecar.engine.EngineOrderClient
import org.medlarhook.sidecar.engine.EngineReply
import org.medlarhook.sidecar.status.StatusPublisher
import org.medlarhook.sidecar.status.UpstreamState

/**
 * Executes orders at the engine and at the sidecar's own intake. Loading or unloading a model and changing the role
 * make the model or the whole engine unavailable, so these orders wait until all running attempts have ended; no new
 * attempts start meanwhile.
 *
 * @property engine null for a plain service, which supports only drain and resume orders.
 */
internal class OrderExecutor(
    private val engine: EngineOrderClient?,
    private val gate: IntakeGate,
    private val state: UpstreamState,
    private val publisher: StatusPublisher,
) : EngineControl {
    override fun apply(order: EngineOrder): EngineOutcome {
        val outcome = execute(order.action, order.fencingNumber)
        if (outcome is EngineOutcome.Done) {
            state.reported = state.reported.withApplied(order.action).copy(orderGeneration = order.generation)
            publisher.publish()
        }
        return outcome
    }

    /** Restores, after a restart of the sidecar, the intake and the reported state that the newest order had set. */
    fun restore(action: OrderAction, generation: Long) {
        if (action is OrderAction.Drain) gate.close()
        state.reported = state.reported.withApplied(action).copy(orderGeneration = generation)
        publisher.publish()
    }

    private fun execute(action: OrderAction, number: FencingNumber): EngineOutcome =
        when (action) {
            is OrderAction.Drain -> EngineOutcome.Done.also { gate.close() }
            is OrderAction.Resume -> EngineOutcome.Done.also { gate.open() }
            is OrderAction.LoadModel -> whileIdle { EngineAction.LoadModel(action.model, action.version).send(number) }
            is OrderAction.LoadAdapter ->
                EngineAction.LoadAdapter(action.model, action.adapter, action.version).send(number)
            is OrderAction.UnloadModel -> whileIdle { EngineAction.UnloadModel(action.model).send(number) }
            is OrderAction.SetRole -> whileIdle { EngineAction.SetRole(action.role.name.lowercase()).send(number) }
        }

    private fun whileIdle(change: () -> EngineOutcome): EngineOutcome {
        val wasClosed = state.isClosedByOrder
        gate.close()
        try {
            if (!gate.awaitIdle(IDLE_TIMEOUT_MS)) return EngineOutcome.Unknown("not idle after $IDLE_TIMEOUT_MS ms")
            return change()
        } finally {
            if (!wasClosed) gate.open()
        }
    }

    private fun EngineAction.send(number: FencingNumber): EngineOutcome =
        when (val reply = engine?.apply(this, number.value)) {
            null -> EngineOutcome.Refused("no engine beside this sidecar")
            is EngineReply.Done -> EngineOutcome.Done
            is EngineReply.Refused -> EngineOutcome.Refused(reply.detail)
            is EngineReply.Unknown -> EngineOutcome.Unknown(reply.detail)
        }

    private companion object {
        const val IDLE_TIMEOUT_MS = 60_000L
    }
}

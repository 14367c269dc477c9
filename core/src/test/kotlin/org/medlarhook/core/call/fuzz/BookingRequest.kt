package org.medlarhook.core.call.fuzz

import org.medlarhook.core.claim.OnceAction
import org.medlarhook.core.claim.OnceEvent
import org.medlarhook.core.claim.OnceMachine
import org.medlarhook.core.claim.OnceRequest
import org.medlarhook.core.claim.OnceStep

/** A request at an entry: the real machine, and the actions that the entry has still to carry out. */
internal class BookingRequest(
    val number: Int,
    val entry: Int,
    val key: String?,
    private val machine: OnceMachine,
    request: OnceRequest,
) {
    private var step: OnceStep = machine.start(request)
    val pending = ArrayDeque(step.actions)

    fun handle(event: OnceEvent, nowMs: Long) {
        step = machine.step(step.state, event, nowMs)
        pending += step.actions
    }

    /** The next action that the entry carries out. */
    fun nextAction(): OnceAction? = pending.removeFirstOrNull()
}

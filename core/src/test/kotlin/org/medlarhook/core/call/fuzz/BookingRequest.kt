package org.medlarhook.core.call.fuzz

import org.medlarhook.core.claim.AtMostOnceAction
import org.medlarhook.core.claim.AtMostOnceEvent
import org.medlarhook.core.claim.AtMostOnceMachine
import org.medlarhook.core.claim.AtMostOnceRequest
import org.medlarhook.core.claim.AtMostOnceStep

/** A request at an entry: the state machine under test, and its actions that the entry has not carried out yet. */
internal class BookingRequest(
    val number: Int,
    val entry: Int,
    val key: String?,
    private val machine: AtMostOnceMachine,
    request: AtMostOnceRequest,
) {
    private var step: AtMostOnceStep = machine.start(request)
    val pending = ArrayDeque(step.actions)

    fun handle(event: AtMostOnceEvent, nowMs: Long) {
        step = machine.step(step.state, event, nowMs)
        pending += step.actions
    }

    /** Removes and returns the next action for the entry to carry out. */
    fun nextAction(): AtMostOnceAction? = pending.removeFirstOrNull()
}

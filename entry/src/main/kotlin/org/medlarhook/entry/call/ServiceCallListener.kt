package org.medlarhook.entry.call

import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/** Receives the outcome of a call of a plain service. */
internal interface ServiceCallListener {
    /** The service answered with [answer]; [isReplay] is true if the answer was recorded for an earlier request. */
    fun answered(answer: CallAnswer, isReplay: Boolean)

    /** The call ended without an answer of the service. */
    fun failed(failure: Failure)
}

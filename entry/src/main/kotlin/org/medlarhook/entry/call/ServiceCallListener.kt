package org.medlarhook.entry.call

import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/** Hears the last word on a call of a plain service. */
internal interface ServiceCallListener {
    /** The service's answer; [isReplay] says that it was recorded before. */
    fun answered(answer: CallAnswer, isReplay: Boolean)

    /** There is no answer. */
    fun failed(failure: Failure)
}

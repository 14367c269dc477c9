package org.medlarhook.serving.call

import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.serving.place.Demand

/** Whether a request is taken on. */
internal sealed interface Admission {
    data class Admitted(
        val demand: Demand,
    ) : Admission

    data class Rejected(
        val code: ResultCode,
        val retryAfterMs: Long?,
    ) : Admission
}

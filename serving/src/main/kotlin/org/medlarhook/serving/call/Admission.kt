package org.medlarhook.serving.call

import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.serving.place.Demand

/** The decision to serve a request or to refuse it. */
internal sealed interface Admission {
    data class Admitted(
        val demand: Demand,
    ) : Admission

    data class Refused(
        val code: ResultCode,
        val retryAfterMs: Long?,
    ) : Admission
}

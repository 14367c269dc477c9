package org.medlarhook.entry.http

import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.protocol.Refusal
import org.medlarhook.protocol.RunState as WireRunState

/** The failure that a sidecar's refusal stands for. */
internal fun Refusal.toFailure(): Failure =
    Failure(
        code = ResultCode.entries.firstOrNull { it.number == code } ?: ResultCode.INTERNAL,
        runState = runState.toRunState(),
        detail = detail,
        retryAfterMs = retryAfterMs.takeIf { it > 0 },
    )

private fun WireRunState.toRunState(): RunState =
    when (this) {
        WireRunState.RUN -> RunState.RUN
        WireRunState.NOT_RUN -> RunState.NOT_RUN
        WireRunState.UNKNOWN, WireRunState.RUN_STATE_UNSPECIFIED, WireRunState.UNRECOGNIZED -> RunState.UNKNOWN
    }

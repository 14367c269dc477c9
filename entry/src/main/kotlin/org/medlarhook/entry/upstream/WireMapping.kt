package org.medlarhook.entry.upstream

import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.call.CallHeader
import org.medlarhook.core.claim.SealResult
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.protocol.AttemptState
import org.medlarhook.protocol.Refusal
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.ServiceResponse
import org.medlarhook.protocol.RunState as WireRunState

private val CODES_BY_NUMBER = ResultCode.entries.associateBy { it.number }

/** Converts a sidecar's refusal to a failure. An unknown code becomes [ResultCode.INTERNAL]. */
internal fun Refusal.toFailure(): Failure {
    val resultCode = CODES_BY_NUMBER[code] ?: ResultCode.INTERNAL
    return Failure(
        code = resultCode,
        runState = runState.toRunState(),
        detail = detail.ifEmpty { resultCode.title },
        retryAfterMs = retryAfterMs.takeIf { it > 0 },
    )
}

/** Converts the response of a plain service to an answer. */
internal fun ServiceResponse.toCallAnswer(): CallAnswer =
    CallAnswer(status, headersList.map { CallHeader(it.name, it.value) }, body.toByteArray())

/** Converts a sidecar's answer to a seal request. */
internal fun SealAnswer.toSealResult(): SealResult =
    when (state) {
        AttemptState.SEALED -> SealResult.Sealed
        AttemptState.RUNNING -> SealResult.Running
        AttemptState.FINISHED ->
            when {
                answer.hasResponse() -> SealResult.Answered(answer.response.toCallAnswer())
                answer.hasRefusal() -> SealResult.Refused(answer.refusal.toFailure())
                else -> SealResult.Undetermined
            }
        AttemptState.UNDETERMINED, AttemptState.ATTEMPT_STATE_UNSPECIFIED, AttemptState.UNRECOGNIZED, null ->
            SealResult.Undetermined
    }

private fun WireRunState.toRunState(): RunState =
    when (this) {
        WireRunState.RUN -> RunState.RUN
        WireRunState.NOT_RUN -> RunState.NOT_RUN
        WireRunState.UNKNOWN, WireRunState.RUN_STATE_UNSPECIFIED, WireRunState.UNRECOGNIZED -> RunState.UNKNOWN
    }

package org.medlarhook.sidecar.rpc

import org.medlarhook.core.attempt.AttemptStatus
import org.medlarhook.core.attempt.SchedulerLoad
import org.medlarhook.core.result.Failure
import org.medlarhook.protocol.AttemptState
import org.medlarhook.protocol.Refusal
import org.medlarhook.protocol.RunState
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.UpstreamLoad

/** Converts a failure to its message. */
internal fun Failure.toRefusal(): Refusal =
    Refusal
        .newBuilder()
        .setCode(code.number)
        .setRunState(RunState.valueOf(runState.name))
        .setDetail(detail)
        .setRetryAfterMs(retryAfterMs ?: 0)
        .build()

/** Converts a load report to its message. */
internal fun SchedulerLoad.toMessage(): UpstreamLoad =
    UpstreamLoad
        .newBuilder()
        .setRunning(running)
        .setQueued(queued)
        .setQueuedPrefillTokens(queuedPrefillTokens)
        .setQueuedDecodeTokens(queuedDecodeTokens)
        .setPrefillTokensPerS(prefillTokensPerS)
        .setDecodeTokensPerS(decodeTokensPerS)
        .setSlots(slots)
        .build()

/** Converts the status of an attempt to the answer to a seal request. */
internal fun AttemptStatus<ServiceAnswer>.toSealAnswer(): SealAnswer {
    val answer = SealAnswer.newBuilder()
    when (this) {
        AttemptStatus.Sealed -> answer.state = AttemptState.SEALED
        AttemptStatus.Running -> answer.state = AttemptState.RUNNING
        AttemptStatus.Undetermined -> answer.state = AttemptState.UNDETERMINED
        is AttemptStatus.Finished -> {
            answer.state = AttemptState.FINISHED
            this.answer?.let { answer.answer = it }
        }
    }
    return answer.build()
}

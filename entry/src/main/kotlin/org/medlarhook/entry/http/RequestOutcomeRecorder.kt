package org.medlarhook.entry.http

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.RunState
import org.medlarhook.entry.call.CallMetrics
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event

private val logger = KotlinLogging.logger {}

/** Counts and logs the outcome of each request. */
internal class RequestOutcomeRecorder(
    private val metrics: CallMetrics,
    private val time: TimeSource,
) {
    /** Records the end of request [requestId], received at [startedAtMs]. [failure] is null if it was answered. */
    fun record(
        kind: String,
        requestId: String,
        startedAtMs: Long,
        failure: Failure?,
    ) {
        val durationMs = time.monotonicMs() - startedAtMs
        if (failure == null) {
            metrics.answered(kind, durationMs)
            logger.event(LogEvent.REQUEST_FINISHED, "kind" to kind, "request" to requestId, "durationMs" to durationMs)
            return
        }
        metrics.failed(kind, failure)
        val event = if (failure.runState == RunState.NOT_RUN) LogEvent.REQUEST_REFUSED else LogEvent.REQUEST_FAILED
        logger.event(
            event,
            "kind" to kind,
            "request" to requestId,
            "durationMs" to durationMs,
            "code" to failure.code.number,
            "run" to failure.runState.name,
        )
    }
}

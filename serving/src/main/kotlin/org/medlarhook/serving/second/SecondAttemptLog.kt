package org.medlarhook.serving.second

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.second.NotSentReason
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.serving.process.LogThrottle

private val logger = KotlinLogging.logger {}

/** Logs and counts second attempts. */
internal class SecondAttemptLog(
    private val registry: MeterRegistry,
    private val isQuiet: Boolean,
) {
    private val throttle = LogThrottle(maxLines = 1)

    /** Logs that the operator allows second attempts [share] of the work of a service. */
    fun allowed(share: Double) {
        if (!isQuiet) logger.event(LogEvent.SECOND_ATTEMPTS_ALLOWED, "share" to share)
    }

    /** Logs and counts that the request with [attemptId] is sent to [second] as well, [lateMs] after [first]. */
    fun sent(attemptId: String?, first: Upstream, second: Upstream, lateMs: Long) {
        count("sent")
        if (isQuiet) return
        logger.event(
            LogEvent.SECOND_ATTEMPT_SENT,
            "request" to attemptId,
            "first" to first.id,
            "second" to second.id,
            "lateMs" to lateMs,
        )
    }

    /** Counts that no second attempt was sent for [reason], and logs now and then that a limit was reached. */
    fun notSent(service: String, reason: NotSentReason, nowMs: Long) {
        count("not_sent_${reason.name.lowercase()}")
        val isLimit = reason == NotSentReason.SHARE || reason == NotSentReason.BUDGET
        if (isQuiet || !isLimit || !throttle.permits(nowMs)) return
        logger.event(LogEvent.SECOND_ATTEMPTS_LIMITED, "service" to service, "limit" to reason.name.lowercase())
    }

    /** Counts how a request with two attempts ended. */
    fun ended(outcome: RaceOutcome) = count(outcome.label)

    private fun count(outcome: String) =
        Counter
            .builder("medlarhook.second.attempts")
            .description("Requests whose first answer was late, by what became of a second attempt")
            .tag("outcome", outcome)
            .register(registry)
            .increment()
}

package org.medlarhook.serving.upstream

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.call.UpstreamHead
import org.medlarhook.serving.process.LogThrottle

private val logger = KotlinLogging.logger {}

/**
 * Logs and counts the answers of upstreams that reach no request: discarded ones, and those that can't be read. All are
 * counted; of the lines, some in each interval are written.
 *
 * @param isQuiet true to write no log lines.
 */
internal class AnswerLog(
    private val registry: MeterRegistry,
    private val isQuiet: Boolean,
) {
    private val discardedLines = LogThrottle()
    private val unreadableLines = LogThrottle()

    /** Records that an answer with [head] was discarded for [reason], while one to [expectedId] was due, if any. */
    fun discarded(
        upstream: Upstream,
        position: ConnectionPosition,
        head: UpstreamHead,
        expectedId: String?,
        reason: DiscardReason,
        nowMs: Long,
    ) {
        count(reason.name)
        if (isQuiet || !discardedLines.permits(nowMs)) return
        logger.warnEvent(
            LogEvent.ANSWER_DISCARDED,
            "upstream" to upstream.id,
            "connection" to position.connection,
            "requestOnConnection" to position.request,
            "reason" to reason.name.lowercase(),
            "expectedId" to expectedId?.take(MAX_LOGGED_CHARS),
            "returnedId" to head.attemptId?.take(MAX_LOGGED_CHARS),
            "status" to head.status,
        )
    }

    /** Records that what the upstream sent is no answer, or not one answer, as [cause] says. */
    fun unreadable(
        upstream: Upstream,
        position: ConnectionPosition,
        expectedId: String?,
        cause: String,
        nowMs: Long,
    ) {
        count("unreadable")
        if (isQuiet || !unreadableLines.permits(nowMs)) return
        logger.warnEvent(
            LogEvent.ANSWER_UNREADABLE,
            "upstream" to upstream.id,
            "connection" to position.connection,
            "requestOnConnection" to position.request,
            "expectedId" to expectedId?.take(MAX_LOGGED_CHARS),
            "cause" to cause.take(MAX_LOGGED_CHARS),
        )
    }

    private fun count(reason: String) {
        Counter
            .builder("medlarhook.upstreams.answers.dropped")
            .description("Answers of upstreams that reached no request, by reason")
            .tag("reason", reason.lowercase())
            .register(registry)
            .increment()
    }

    private companion object {
        const val MAX_LOGGED_CHARS = 200
    }
}

/** Why an answer is discarded. */
internal enum class DiscardReason {
    /** It returns the id of another request, or none where one is needed. */
    OTHER_ID,

    /** It arrived while no request was on the connection. */
    NO_REQUEST,
}

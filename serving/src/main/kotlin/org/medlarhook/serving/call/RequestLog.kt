package org.medlarhook.serving.call

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.limit.ProcessShare
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.allowance.AllowanceLog
import org.medlarhook.serving.crash.CrashLog
import org.medlarhook.serving.fair.FairAdmissionLog
import org.medlarhook.serving.process.LogThrottle
import org.medlarhook.serving.second.SecondAttemptLog
import org.medlarhook.serving.upstream.AnswerLog
import java.time.Duration
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * Writes one log line and records one timer sample for each request. Keys and bodies are never logged.
 *
 * @param isQuiet true to write no log lines, for the sample requests of a warm-up.
 */
internal class RequestLog(
    private val registry: MeterRegistry,
    private val isQuiet: Boolean = false,
) {
    private val timers = HashMap<String, Timer>()
    private val malformedLoadLines = LogThrottle()

    /** Logs what is concluded about requests and prompt parts under which upstreams crash. */
    val crashes = CrashLog(registry, isQuiet)

    /** Logs the decisions on requests of limited workspaces. */
    val allowances = AllowanceLog(registry, isQuiet)

    /** Logs the answers of upstreams that reach no request. */
    val answers = AnswerLog(registry, isQuiet)

    /** Logs and counts second attempts. */
    val seconds = SecondAttemptLog(registry, isQuiet)

    fun finished(
        record: ExchangeRecord,
        outcome: Outcome,
        configVersion: Long?,
        confirmedAtMs: Long?,
        nowMs: Long,
    ) {
        val tookMs = nowMs - record.arrivedAtMs
        val demand = record.demand
        timer(demand?.route?.kind?.name?.lowercase() ?: "none", outcome.label).record(tookMs, TimeUnit.MILLISECONDS)
        val fields =
            mapOf(
                "request" to record.call.attemptId,
                "outcome" to outcome.label,
                "status" to statusOf(outcome),
                "tookMs" to tookMs,
                "waitedMs" to record.waitedMs,
                "route" to demand?.route?.name,
                "workspace" to demand?.workspace,
                "firstEventMs" to record.firstEventMs,
                "leftMs" to demand?.let { it.deadlineAtMs - nowMs },
                "config" to configVersion,
                "configAgeMs" to confirmedAtMs?.let { nowMs - it },
                "attempts" to record.attemptsText,
                "answers" to record.answersText,
                "fingerprint" to record.fingerprint,
                "arrivals" to record.arrivals,
                "retries" to record.retries.takeIf { it > 0 },
                "retryRefused" to record.isRetryRefused.takeIf { it },
                "second" to record.second?.label,
                "retryAfterMs" to record.retryAfterMs,
                "resumes" to record.call.resumedAttemptId,
                "lastEventId" to record.call.lastEventId,
                "onConnection" to record.requestOnConnection,
                "stoppingMs" to record.stoppingMs,
                "promptTokens" to demand?.generation?.promptTokens,
                "outputTokens" to demand?.generation?.outputTokens,
                "parts" to demand?.generation?.parts?.joinToString(",") { "${it.id}:${it.tokens}" },
                "maxTokens" to demand?.generation?.maxOutputTokens,
            ) + FairAdmissionLog.fields(demand, record.shortage)
        if (isQuiet) return
        if (outcome is Outcome.Answered) {
            logger.event(LogEvent.REQUEST_FINISHED, fields)
        } else {
            logger.warnEvent(LogEvent.REQUEST_FAILED, fields)
        }
    }

    /** Logs and counts that [upstream] has announced in an answer that it leaves. */
    fun upstreamLeaves(upstream: Upstream) {
        announcements("leaving").increment()
        if (isQuiet) return
        logger.event(
            LogEvent.UPSTREAM_LEAVES,
            "upstream" to upstream.id,
            "startedAtMs" to upstream.startedAtMs,
            "address" to upstream.address,
            "service" to upstream.service,
        )
    }

    /** Logs and counts that [upstream] has asked with the Retry-After [value] to get nothing for [opensInMs]. */
    fun upstreamCloses(upstream: Upstream, value: String, opensInMs: Long) {
        announcements("closed").increment()
        if (isQuiet) return
        logger.event(
            LogEvent.UPSTREAM_CLOSES,
            "upstream" to upstream.id,
            "startedAtMs" to upstream.startedAtMs,
            "retryAfter" to value.take(MAX_LOGGED_CHARS),
            "opensInMs" to opensInMs,
        )
    }

    /** Logs and counts that [upstream] has sent the malformed Retry-After [value]. */
    fun retryAfterMalformed(upstream: Upstream, value: String) {
        announcements("malformed").increment()
        if (isQuiet) return
        logger.warnEvent(
            LogEvent.RETRY_AFTER_MALFORMED,
            "upstream" to upstream.id,
            "startedAtMs" to upstream.startedAtMs,
            "retryAfter" to value.take(MAX_LOGGED_CHARS),
        )
    }

    /**
     * Logs and counts that [upstream] takes [perS] requests a second from all processes, or no longer limits them, as
     * this process knows from [source]. It sends its [share] of them.
     */
    fun upstreamLimits(upstream: Upstream, perS: Double?, share: ProcessShare?, source: String) {
        announcements(if (perS == null) "limit_ended" else "limited").increment()
        if (isQuiet) return
        logger.event(
            if (perS == null) LogEvent.UPSTREAM_LIMIT_ENDED else LogEvent.UPSTREAM_LIMITS,
            "upstream" to upstream.id,
            "startedAtMs" to upstream.startedAtMs,
            "limitPerS" to perS,
            "source" to source,
            "rank" to share?.rank,
            "processes" to share?.processes,
            "shareFreshUntilMs" to share?.freshUntilMs,
        )
    }

    /** Logs and counts that [upstream] has named the malformed limit [value]. */
    fun limitMalformed(upstream: Upstream, value: String) {
        announcements("malformed_limit").increment()
        if (isQuiet) return
        logger.warnEvent(
            LogEvent.UPSTREAM_LIMIT_MALFORMED,
            "upstream" to upstream.id,
            "startedAtMs" to upstream.startedAtMs,
            "limit" to value.take(MAX_LOGGED_CHARS),
        )
    }

    /** Counts that [upstream] has sent the malformed load report [value], and logs some of them. */
    fun loadMalformed(upstream: Upstream, value: String, nowMs: Long) {
        announcements("malformed_load").increment()
        if (isQuiet || !malformedLoadLines.permits(nowMs)) return
        logger.warnEvent(
            LogEvent.LOAD_REPORT_MALFORMED,
            "upstream" to upstream.id,
            "startedAtMs" to upstream.startedAtMs,
            "load" to value.take(MAX_LOGGED_CHARS),
        )
    }

    /** Counts what became of a retry that a request needed. */
    fun retry(outcome: RetryOutcome) {
        Counter
            .builder("medlarhook.retries")
            .description("Retries that requests needed, by what the retry budgets gave")
            .tag("outcome", outcome.name.lowercase())
            .register(registry)
            .increment()
    }

    private fun announcements(kind: String): Counter =
        Counter
            .builder("medlarhook.upstreams.announcements")
            .description("Answers in which an upstream said how much work it wants")
            .tag("kind", kind)
            .register(registry)

    private fun statusOf(outcome: Outcome): Int? =
        when (outcome) {
            is Outcome.Answered -> outcome.status
            is Outcome.Refused -> outcome.code.httpStatus
            is Outcome.CutOffAtShutdown -> outcome.code?.httpStatus
            is Outcome.Broken, is Outcome.CallerDisconnected -> null
        }

    private fun timer(kind: String, outcome: String): Timer =
        timers.getOrPut("$kind/$outcome") {
            Timer
                .builder("medlarhook.requests")
                .description("Time from a request's arrival to its final answer")
                .tag("kind", kind)
                .tag("outcome", outcome)
                .serviceLevelObjectives(25.ms, 50.ms, 100.ms, 200.ms, 400.ms, 800.ms, 2_000.ms, 5_000.ms, 15_000.ms)
                .register(registry)
        }

    private companion object {
        const val MAX_LOGGED_CHARS = 40

        val Int.ms: Duration get() = Duration.ofMillis(toLong())
    }
}

package org.medlarhook.serving.crash

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent

private val logger = KotlinLogging.logger {}

/** Logs and counts what is concluded about prompt parts under which engines crash. */
internal class PromptCrashLog(
    private val registry: MeterRegistry,
    private val isQuiet: Boolean,
) {
    private var refusalLoggedAtMs: Long? = null
    private var unloggedRefusals = 0

    fun suspected(part: String, crashes: Collection<String>, source: String) {
        counter("suspected").increment()
        if (!isQuiet) logger.warnEvent(LogEvent.PROMPT_PART_SUSPECTED, *fields(part, crashes, source))
    }

    fun quarantined(part: String, crashes: Collection<String>, source: String) {
        counter("quarantined").increment()
        if (!isQuiet) logger.warnEvent(LogEvent.PROMPT_PART_QUARANTINED, *fields(part, crashes, source))
    }

    fun cleared(part: String, crashes: Collection<String>, source: String) {
        counter("cleared").increment()
        if (!isQuiet) logger.event(LogEvent.PROMPT_PART_CLEARED, *fields(part, crashes, source))
    }

    /** Counts each refused request, and logs one of them in [REFUSAL_LOG_INTERVAL_MS]. */
    fun refused(part: String, nowMs: Long) {
        counter("refused").increment()
        unloggedRefusals++
        if (isQuiet || refusalLoggedAtMs?.let { nowMs - it < REFUSAL_LOG_INTERVAL_MS } == true) return
        logger.warnEvent(LogEvent.PROMPT_PART_REFUSED, "part" to part, "requests" to unloggedRefusals)
        refusalLoggedAtMs = nowMs
        unloggedRefusals = 0
    }

    private fun fields(part: String, crashes: Collection<String>, source: String): Array<Pair<String, Any?>> =
        arrayOf(
            "part" to part,
            "crashes" to crashes.size,
            "upstreams" to crashes.joinToString(","),
            "source" to source,
        )

    private fun counter(kind: String): Counter =
        Counter
            .builder("medlarhook.prompt.parts")
            .description("Prompt parts suspected, quarantined and cleared of crashing engines, and requests refused")
            .tag("kind", kind)
            .register(registry)

    private companion object {
        const val REFUSAL_LOG_INTERVAL_MS = 1_000L
    }
}

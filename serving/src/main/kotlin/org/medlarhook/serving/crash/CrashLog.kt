package org.medlarhook.serving.crash

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.medlarhook.core.serving.crash.Suspect
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent

private val logger = KotlinLogging.logger {}

/** Logs and counts what is concluded about requests and prompt parts under which upstreams crash. */
internal class CrashLog(
    private val registry: MeterRegistry,
    private val isQuiet: Boolean,
) {
    private val partRefusals = Refusals()
    private val requestRefusals = Refusals()

    private class Refusals {
        var loggedAtMs: Long? = null
        var unlogged = 0
    }

    fun suspected(suspect: Suspect, crashes: Collection<String>, source: String) {
        counter(suspect, "suspected").increment()
        val event =
            when (suspect) {
                is Suspect.Part -> LogEvent.PROMPT_PART_SUSPECTED
                is Suspect.Request -> LogEvent.REQUEST_SUSPECTED
            }
        if (!isQuiet) logger.warnEvent(event, fields(suspect, crashes, source))
    }

    fun quarantined(suspect: Suspect, crashes: Collection<String>, source: String) {
        counter(suspect, "quarantined").increment()
        val event =
            when (suspect) {
                is Suspect.Part -> LogEvent.PROMPT_PART_QUARANTINED
                is Suspect.Request -> LogEvent.REQUEST_QUARANTINED
            }
        if (!isQuiet) logger.warnEvent(event, fields(suspect, crashes, source))
    }

    fun cleared(suspect: Suspect, crashes: Collection<String>, source: String) {
        counter(suspect, "cleared").increment()
        val event =
            when (suspect) {
                is Suspect.Part -> LogEvent.PROMPT_PART_CLEARED
                is Suspect.Request -> LogEvent.REQUEST_CLEARED
            }
        if (!isQuiet) logger.event(event, fields(suspect, crashes, source))
    }

    /** Counts each refused request, and logs one of them in [REFUSAL_LOG_INTERVAL_MS]. */
    fun refused(suspect: Suspect, nowMs: Long) {
        counter(suspect, "refused").increment()
        val refusals = if (suspect is Suspect.Part) partRefusals else requestRefusals
        refusals.unlogged++
        if (isQuiet || refusals.loggedAtMs?.let { nowMs - it < REFUSAL_LOG_INTERVAL_MS } == true) return
        val event =
            when (suspect) {
                is Suspect.Part -> LogEvent.PROMPT_PART_REFUSED
                is Suspect.Request -> LogEvent.QUARANTINED_REQUEST_REFUSED
            }
        logger.warnEvent(event, nameOf(suspect) to suspect.id, "requests" to refusals.unlogged)
        refusals.loggedAtMs = nowMs
        refusals.unlogged = 0
    }

    private fun fields(suspect: Suspect, crashes: Collection<String>, source: String): Map<String, Any?> =
        mapOf(
            nameOf(suspect) to suspect.id,
            "crashes" to crashes.size,
            "upstreams" to crashes.joinToString(","),
            "source" to source,
        )

    private fun nameOf(suspect: Suspect): String =
        when (suspect) {
            is Suspect.Part -> "part"
            is Suspect.Request -> "fingerprint"
        }

    private fun counter(suspect: Suspect, kind: String): Counter {
        val (name, things) =
            when (suspect) {
                is Suspect.Part -> "medlarhook.prompt.parts" to "Prompt parts"
                is Suspect.Request -> "medlarhook.crashing.requests" to "Requests"
            }
        return Counter
            .builder(name)
            .description("$things suspected, quarantined and cleared of crashing upstreams, and requests refused")
            .tag("kind", kind)
            .register(registry)
    }

    private companion object {
        const val REFUSAL_LOG_INTERVAL_MS = 1_000L
    }
}

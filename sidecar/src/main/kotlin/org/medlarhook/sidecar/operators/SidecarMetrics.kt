package org.medlarhook.sidecar.operators

import io.micrometer.core.instrument.MeterRegistry
import org.medlarhook.core.attempt.SchedulerLoad
import org.medlarhook.core.result.ResultCode

/** The sidecar's metrics. Labels are bounded: result codes only. */
internal class SidecarMetrics(
    private val registry: MeterRegistry,
) {
    private val deliveredTokens = registry.counter("medlarhook.sidecar.delivered.tokens")

    /** Counts an attempt that got its final answer; [code] is null if it was answered in full. */
    fun ended(code: ResultCode?): Unit =
        registry.counter("medlarhook.sidecar.attempts", "code", code?.number?.toString() ?: "ok").increment()

    /** Counts tokens handed to an entry. */
    fun delivered(tokens: Long): Unit = deliveredTokens.increment(tokens.toDouble())

    /** Shows [load] as gauges. */
    fun watchLoad(load: () -> SchedulerLoad) {
        registry.gauge("medlarhook.sidecar.running", this) { load().running.toDouble() }
        registry.gauge("medlarhook.sidecar.queued", this) { load().queued.toDouble() }
        registry.gauge("medlarhook.sidecar.queued.prefill.tokens", this) { load().queuedPrefillTokens.toDouble() }
        registry.gauge("medlarhook.sidecar.decode.tokens.per.s", this) { load().decodeTokensPerS }
        registry.gauge("medlarhook.sidecar.prefill.tokens.per.s", this) { load().prefillTokensPerS }
    }
}

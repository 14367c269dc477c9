package org.medlarhook.sidecar.operators

import io.micrometer.core.instrument.MeterRegistry
import org.medlarhook.core.attempt.SchedulerLoad
import org.medlarhook.core.result.ResultCode

/** The sidecar's metrics. The only label is the result code, so the number of time series is bounded. */
internal class SidecarMetrics(
    private val registry: MeterRegistry,
) {
    private val deliveredTokens = registry.counter("medlarhook.sidecar.delivered.tokens")

    /** Counts an attempt that has received its final answer; [code] is null if it was answered in full. */
    fun ended(code: ResultCode?): Unit =
        registry.counter("medlarhook.sidecar.attempts", "code", code?.number?.toString() ?: "ok").increment()

    /** Counts output tokens delivered to entries. */
    fun delivered(tokens: Long): Unit = deliveredTokens.increment(tokens.toDouble())

    /** Registers gauges that read [load]. */
    fun registerLoadGauges(load: () -> SchedulerLoad) {
        registry.gauge("medlarhook.sidecar.running", this) { load().running.toDouble() }
        registry.gauge("medlarhook.sidecar.queued", this) { load().queued.toDouble() }
        registry.gauge("medlarhook.sidecar.queued.prefill.tokens", this) { load().queuedPrefillTokens.toDouble() }
        registry.gauge("medlarhook.sidecar.decode.tokens.per.s", this) { load().decodeTokensPerS }
        registry.gauge("medlarhook.sidecar.prefill.tokens.per.s", this) { load().prefillTokensPerS }
    }
}

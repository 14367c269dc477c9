package org.medlarhook.entry.call

import io.micrometer.core.instrument.MeterRegistry
import org.medlarhook.core.result.Failure
import java.util.concurrent.TimeUnit

/** Metrics of the requests of callers. No label contains a workspace, which bounds the number of time series. */
internal class CallMetrics(
    private val registry: MeterRegistry,
) {
    private val latency = registry.timer("medlarhook.entry.requests.duration")
    private val tokens = registry.counter("medlarhook.entry.tokens.relayed")
    private val retries = registry.counter("medlarhook.entry.attempts.retried")
    private val replays = registry.counter("medlarhook.entry.claims.replayed")

    /** Counts a request that succeeded [durationMs] after its start. */
    fun answered(kind: String, durationMs: Long) {
        registry.counter(REQUESTS, "kind", kind, "code", "ok", "run", "run").increment()
        latency.record(durationMs, TimeUnit.MILLISECONDS)
    }

    /** Counts a request that ended with [failure]. */
    fun failed(kind: String, failure: Failure) {
        val code = failure.code.number.toString()
        registry.counter(REQUESTS, "kind", kind, "code", code, "run", failure.runState.name.lowercase()).increment()
    }

    /** Counts [count] output tokens that were relayed to a caller. */
    fun tokens(count: Int): Unit = tokens.increment(count.toDouble())

    /** Counts an attempt that follows a failed one. */
    fun retried(): Unit = retries.increment()

    /** Counts an answer that was replayed from a claim. */
    fun replayed(): Unit = replays.increment()

    private companion object {
        const val REQUESTS = "medlarhook.entry.requests"
    }
}

package org.medlarhook.entry.call

import io.micrometer.core.instrument.MeterRegistry
import org.medlarhook.core.result.Failure
import java.util.concurrent.TimeUnit

/** Counts what callers get. No label names a workspace, so that the number of series stays bounded. */
internal class CallMetrics(
    private val registry: MeterRegistry,
) {
    private val latency = registry.timer("medlarhook.entry.requests.duration")
    private val tokens = registry.counter("medlarhook.entry.tokens.relayed")
    private val retries = registry.counter("medlarhook.entry.attempts.retried")
    private val replays = registry.counter("medlarhook.entry.claims.replayed")

    /** A request was answered as asked after [durationMs]. */
    fun answered(kind: String, durationMs: Long) {
        registry.counter(REQUESTS, "kind", kind, "code", "ok", "run", "run").increment()
        latency.record(durationMs, TimeUnit.MILLISECONDS)
    }

    /** A request ended with [failure]. */
    fun failed(kind: String, failure: Failure) {
        val code = failure.code.number.toString()
        registry.counter(REQUESTS, "kind", kind, "code", code, "run", failure.runState.name.lowercase()).increment()
    }

    /** [count] tokens were passed on. */
    fun tokens(count: Int): Unit = tokens.increment(count.toDouble())

    /** An attempt follows on a failed one. */
    fun retried(): Unit = retries.increment()

    /** A recorded answer was given again. */
    fun replayed(): Unit = replays.increment()

    private companion object {
        const val REQUESTS = "medlarhook.entry.requests"
    }
}

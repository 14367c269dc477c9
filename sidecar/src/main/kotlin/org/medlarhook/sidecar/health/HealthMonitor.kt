package org.medlarhook.sidecar.health

import okhttp3.Call
import okhttp3.Callback
import okhttp3.Request
import okhttp3.Response
import org.medlarhook.runtime.settings.SidecarLimits
import org.medlarhook.sidecar.http.SingleSendClient
import java.io.IOException
import java.time.Duration
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/**
 * Probes the engine or service, each time on a new connection. Any status below 500 counts as healthy; two failures in
 * a row count as unhealthy. After a failure the next probe comes sooner.
 */
internal class HealthMonitor(
    url: String,
    private val limits: SidecarLimits,
    private val timer: ScheduledExecutorService,
    private val onChange: (isHealthy: Boolean) -> Unit,
) : Callback {
    private val request = Request.Builder().url("$url/healthz").build()
    private val client =
        SingleSendClient
            .create(limits.probeTimeoutMs)
            .newBuilder()
            .callTimeout(Duration.ofMillis(limits.probeTimeoutMs))
            .build()
    private var failures = 0
    private var isHealthy = false

    /** Sends the first probe; each result schedules the next one. */
    fun start(): Unit = client.newCall(request).enqueue(this)

    override fun onResponse(call: Call, response: Response) {
        response.use { report(it.code < FIRST_SERVER_ERROR) }
    }

    override fun onFailure(call: Call, e: IOException): Unit = report(false)

    private fun report(isSuccess: Boolean) {
        failures = if (isSuccess) 0 else failures + 1
        val isNowHealthy = if (isHealthy) failures < FAILURES_TO_UNHEALTHY else isSuccess
        if (isNowHealthy != isHealthy) {
            isHealthy = isNowHealthy
            onChange(isNowHealthy)
        }
        val delayMs = if (isSuccess) limits.probeIntervalMs else limits.probeIntervalMs / RETRY_INTERVAL_DIVISOR
        if (!timer.isShutdown) timer.schedule(::start, delayMs, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        const val FAILURES_TO_UNHEALTHY = 2
        const val RETRY_INTERVAL_DIVISOR = 4
    }
}

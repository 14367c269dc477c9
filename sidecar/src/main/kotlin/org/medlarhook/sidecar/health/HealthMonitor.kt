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
 * Probes the engine or service on a new connection each time. Any answer below 500 counts as a sign of life; two
 * failures in a row count as silence.
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

    /** Starts to probe. */
    fun start(): Unit = client.newCall(request).enqueue(this)

    override fun onResponse(call: Call, response: Response) {
        response.use { report(it.code < SERVER_ERROR) }
    }

    override fun onFailure(call: Call, e: IOException): Unit = report(false)

    private fun report(isAlive: Boolean) {
        failures = if (isAlive) 0 else failures + 1
        val isNowHealthy = if (isHealthy) failures < FAILURES_TO_SILENCE else isAlive
        if (isNowHealthy != isHealthy) {
            isHealthy = isNowHealthy
            onChange(isNowHealthy)
        }
        val delayMs = if (isAlive) limits.probeIntervalMs else limits.probeIntervalMs / RETRY_FRACTION
        if (!timer.isShutdown) timer.schedule(::start, delayMs, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val SERVER_ERROR = 500
        const val FAILURES_TO_SILENCE = 2
        const val RETRY_FRACTION = 4
    }
}

package org.medlarhook.systemtest.sidecar

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.medlarhook.harness.Binaries
import org.medlarhook.harness.EnginePlan
import org.medlarhook.harness.Fleet
import org.medlarhook.harness.UpstreamNode
import org.medlarhook.harness.fleetPlan
import org.medlarhook.runtime.settings.SidecarSettings
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration

/** A platform stand-in and upstreams with sidecar processes; the tests call the sidecars in place of entries. */
class SidecarFleet : AutoCloseable {
    private val http = OkHttpClient.Builder().callTimeout(Duration.ofSeconds(10)).build()
    val fleet = startFleet()

    /** Starts an engine whose sidecar fails attempts after 1 s without output and probes the engine each 200 ms. */
    fun engine(
        slots: Int = 8,
        decodeTokensPerS: Double = 100.0,
        maxForgottenAttempts: Int = 500_000,
    ): UpstreamNode =
        fleet.startEngine("dc", "region", plan(slots, decodeTokensPerS)) { settings ->
            settings.copy(
                engine = settings.engine?.copy(firstByteTimeoutMs = 1_000, betweenTokenTimeoutMs = 1_000),
                limits = shortLimits(settings).copy(maxForgottenAttempts = maxForgottenAttempts),
            )
        }

    fun service(): UpstreamNode =
        fleet.startService("dc", "region", "bookings") { settings ->
            settings.copy(service = settings.service?.copy(callTimeoutMs = 1_500), limits = shortLimits(settings))
        }

    fun post(url: String, body: String): Int =
        http.newCall(Request.Builder().url(url).post(body.toRequestBody()).build()).execute().use { it.code }

    fun get(url: String): String =
        http.newCall(Request.Builder().url(url).build()).execute().use { it.body.string() }

    override fun close(): Unit = fleet.close()

    private fun plan(slots: Int, decodeTokensPerS: Double) =
        EnginePlan(SidecarClient.MODEL, slots, prefillTokensPerS = 8_000.0, decodeTokensPerS = decodeTokensPerS)

    private fun shortLimits(settings: SidecarSettings) =
        settings.limits.copy(probeIntervalMs = 200, probeTimeoutMs = 300, receiptLimitMs = 300)

    private fun startFleet(): Fleet {
        val binaries = Binaries.under(Path.of("").toAbsolutePath().parent)
        check(Files.exists(binaries.medlarhook) && Files.exists(binaries.standIns)) { "programs missing: $binaries" }
        return Fleet.start(binaries, fleetPlan { })
    }
}

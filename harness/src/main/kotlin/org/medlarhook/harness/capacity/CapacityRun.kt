package org.medlarhook.harness.capacity

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.double
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.medlarhook.harness.Binaries
import org.medlarhook.harness.Fleet
import org.medlarhook.harness.Readiness

/** Measures the resource use of processes that serve no requests, at one size of one dimension. */
internal class CapacityRun(
    private val binaries: Binaries,
    private val dimension: CapacityDimension,
) {
    private val sampler = ProcessSampler()
    private val httpClient = MetricsClient()

    /** Starts the fleet for [size], waits [SETTLE_MS] for a steady state, and measures it for [MEASURED_MS]. */
    fun measure(size: Int): CapacityPoint =
        Fleet.start(binaries, dimension.plan(size)).use { fleet ->
            val operators = fleet.entries.first().operatorsUrl
            Readiness.await("$operators/healthz")
            val load = CapacityLoad(operators)
            load.seed(dimension.workspaces(size))
            fleet.upstreams.forEach { it.awaitReady() }
            fleet.entries.forEach { it.awaitReady() }
            sendChanges(load, dimension.changesPerS(size), SETTLE_MS)
            val before = snapshot(fleet)
            sendChanges(load, dimension.changesPerS(size), MEASURED_MS)
            val after = snapshot(fleet)
            point(size, before, after)
        }

    private class Snapshot(
        val atNanos: Long,
        val entries: List<ProcessSample>,
        val sidecars: List<ProcessSample>,
        val reads: Double,
        val writes: Double,
    )

    private fun snapshot(fleet: Fleet): Snapshot {
        val stats = Json.parseToJsonElement(httpClient.text("${fleet.platformUrl}/stats")).jsonObject
        return Snapshot(
            atNanos = System.nanoTime(),
            entries = fleet.entries.map { sampler.sample(it.process, it.operatorsUrl) },
            sidecars = fleet.upstreams.map { sampler.sample(it.sidecar, it.operatorsUrl) },
            reads = stats.getValue("reads").jsonPrimitive.double,
            writes = stats.getValue("writes").jsonPrimitive.double,
        )
    }

    private fun point(size: Int, before: Snapshot, after: Snapshot): CapacityPoint {
        val durationS = (after.atNanos - before.atNanos) / NANOS_PER_S
        return CapacityPoint(
            size = size,
            entry = roleUse(before.entries, after.entries, durationS),
            sidecar = roleUse(before.sidecars, after.sidecars, durationS),
            tableReadsPerS = (after.reads - before.reads) / durationS,
            tableWritesPerS = (after.writes - before.writes) / durationS,
        )
    }

    private fun roleUse(before: List<ProcessSample>, after: List<ProcessSample>, durationS: Double): RoleUse {
        fun perS(value: (ProcessSample) -> Double) =
            (after.map(value).average() - before.map(value).average()) / durationS
        return RoleUse(
            corePercent = perS { it.cpuMs } / MS_PER_S * PERCENT,
            residentMb = after.map { it.residentKb }.average() / KB_PER_MB,
            heapMb = after.map { it.heapKb }.average() / KB_PER_MB,
            controlBytesPerS = perS { it.controlBytes },
            controlMessagesPerS = perS { it.controlMessages },
        )
    }

    private fun sendChanges(load: CapacityLoad, perS: Int, durationMs: Long) {
        val startNanos = System.nanoTime()
        var sent = 0
        while (elapsedMs(startNanos) < durationMs) {
            val due = perS * elapsedMs(startNanos) / MS_PER_S
            while (sent < due) load.changeOne(sent++)
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    private fun elapsedMs(startNanos: Long) = (System.nanoTime() - startNanos) / NANOS_PER_MS

    private companion object {
        const val SETTLE_MS = 15_000L
        const val MEASURED_MS = 20_000L
        const val POLL_INTERVAL_MS = 20L
        const val MS_PER_S = 1_000L
        const val PERCENT = 100.0
        const val KB_PER_MB = 1_024.0
        const val NANOS_PER_MS = 1_000_000L
        const val NANOS_PER_S = 1_000_000_000.0
    }
}

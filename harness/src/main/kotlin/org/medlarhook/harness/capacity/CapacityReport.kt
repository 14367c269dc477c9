package org.medlarhook.harness.capacity

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.medlarhook.harness.Binaries
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** Measures the fleet at all sizes of a dimension, and writes the values and the lines fitted to them as JSON. */
internal class CapacityReport(
    private val binaries: Binaries,
    private val directory: Path,
) {
    /** Measures [dimension], prints the values and slopes, and writes them to `<dimension>.json`. */
    fun run(dimension: CapacityDimension) {
        val run = CapacityRun(binaries, dimension)
        val points = dimension.sizes.map { size -> run.measure(size).also { println(line(dimension, it)) } }
        val slopes = VALUES.map { value -> slope(value, points) }
        slopes.forEach { println(line(dimension, it)) }
        val file = directory.createDirectories().resolve("${dimension.name.lowercase()}.json")
        file.writeText(
            JSON.encodeToString(Measurement.serializer(), Measurement(dimension.unit, points, slopes)) + "\n",
        )
    }

    private fun slope(value: Value, points: List<CapacityPoint>) =
        Slope(value.name, LinearFit.through(points.map { FitPoint(it.size.toDouble(), value.of(it)) }))

    private fun line(dimension: CapacityDimension, point: CapacityPoint) =
        "%s=%d entry %s sidecar %s tables %.2f reads/s %.2f writes/s".format(
            dimension.name.lowercase(),
            point.size,
            text(point.entry),
            text(point.sidecar),
            point.tableReadsPerS,
            point.tableWritesPerS,
        )

    private fun text(use: RoleUse) =
        "%.2f%% core %.0f MB rss %.1f MB heap %.0f B/s %.1f msg/s".format(
            use.corePercent,
            use.residentMb,
            use.heapMb,
            use.controlBytesPerS,
            use.controlMessagesPerS,
        )

    private fun line(dimension: CapacityDimension, slope: Slope) =
        "slope %s: %.5f per %s, intercept %.4f, worst residual %.4f".format(
            slope.value,
            slope.fit.slope,
            dimension.unit,
            slope.fit.intercept,
            slope.fit.worstResidual,
        )

    private class Value(
        val name: String,
        val of: (CapacityPoint) -> Double,
    )

    @Serializable
    private data class Slope(
        val value: String,
        val fit: LinearFit,
    )

    @Serializable
    private data class Measurement(
        val unit: String,
        val points: List<CapacityPoint>,
        val slopes: List<Slope>,
    )

    private companion object {
        val JSON = Json { prettyPrint = true }
        val VALUES =
            listOf(
                Value("entry core %") { it.entry.corePercent },
                Value("entry resident MB") { it.entry.residentMb },
                Value("entry heap MB") { it.entry.heapMb },
                Value("entry control B/s") { it.entry.controlBytesPerS },
                Value("sidecar core %") { it.sidecar.corePercent },
                Value("sidecar resident MB") { it.sidecar.residentMb },
                Value("sidecar heap MB") { it.sidecar.heapMb },
                Value("sidecar control B/s") { it.sidecar.controlBytesPerS },
                Value("table reads/s") { it.tableReadsPerS },
                Value("table writes/s") { it.tableWritesPerS },
            )
    }
}

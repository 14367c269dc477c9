package org.medlarhook.harness.demo

import org.medlarhook.core.routing.RoutingPolicyName
import org.medlarhook.harness.Binaries
import org.medlarhook.harness.bench.RelayBench
import org.medlarhook.harness.capacity.CapacityDimension
import org.medlarhook.harness.capacity.CapacityReport
import org.medlarhook.harness.load.LoadFleet
import java.nio.file.Path
import kotlin.system.exitProcess

private const val BENCH = "--bench"
private const val CAPACITY = "--capacity"
private const val LOAD_FLEET = "--load-fleet"
private const val NO_ADMISSION = "--no-admission"
private const val KEEP = "--keep"

/**
 * Runs the demonstration, or with an option one of the measurements: `--bench relay` measures one entry,
 * `--capacity DIMENSION…` measures how resource use grows with the size of the fleet, and `--load-fleet POLICY` runs a
 * fleet as a target for the load tool.
 */
fun main(args: Array<String>) {
    val root = Path.of(System.getProperty("user.dir"))
    val binaries = Binaries.under(root)
    val isPassed =
        when (args.firstOrNull()) {
            BENCH -> RelayBench(binaries, root.resolve("examples/brillo")).run().let { true }
            CAPACITY -> measureCapacity(binaries, root, args.drop(1))
            LOAD_FLEET -> runLoadFleet(binaries, root, args.drop(1))
            else -> Demo(binaries, root.resolve("examples/brillo"), keep = KEEP in args).run()
        }
    exitProcess(if (isPassed) 0 else 1)
}

private fun measureCapacity(binaries: Binaries, root: Path, dimensions: List<String>): Boolean {
    val report = CapacityReport(binaries, root.resolve("docs/capacity"))
    dimensions.forEach { report.run(CapacityDimension.valueOf(it.uppercase())) }
    return true
}

private fun runLoadFleet(binaries: Binaries, root: Path, options: List<String>): Boolean {
    val policy = RoutingPolicyName.valueOf(options.first().uppercase().replace('-', '_'))
    LoadFleet(binaries, root.resolve("examples/consortium")).run(policy, NO_ADMISSION !in options)
    return true
}

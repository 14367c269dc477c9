package org.medlarhook.harness.demo

import org.medlarhook.core.routing.RoutingPolicyName
import org.medlarhook.harness.Binaries
import org.medlarhook.harness.bench.RelayBench
import org.medlarhook.harness.capacity.CapacityDimension
import org.medlarhook.harness.capacity.CapacityReport
import org.medlarhook.harness.load.LoadFleet
import java.nio.file.Path
import kotlin.system.exitProcess

private const val CAPACITY = "--capacity"
private const val LOAD_FLEET = "--load-fleet"
private const val NO_ADMISSION = "--no-admission"
private val RELAY_BENCH = listOf("--bench", "relay")

/** Starts a small fleet, runs real traffic through it, and prints a line for each step; or measures one entry. */
fun main(args: Array<String>) {
    val root = Path.of(System.getProperty("user.dir"))
    if (args.toList() == RELAY_BENCH) {
        RelayBench(Binaries.under(root), root.resolve("examples/brillo")).run()
        exitProcess(0)
    }
    if (args.firstOrNull() == CAPACITY) {
        val report = CapacityReport(Binaries.under(root), root.resolve("docs/capacity"))
        args.drop(1).forEach { report.run(CapacityDimension.valueOf(it.uppercase())) }
        exitProcess(0)
    }
    if (args.firstOrNull() == LOAD_FLEET) {
        val policy = RoutingPolicyName.valueOf(args[1].uppercase().replace('-', '_'))
        LoadFleet(Binaries.under(root), root.resolve("examples/consortium")).run(policy, NO_ADMISSION !in args)
    }
    val demo = Demo(Binaries.under(root), root.resolve("examples/brillo"), keep = "--keep" in args)
    exitProcess(if (demo.run()) 0 else 1)
}

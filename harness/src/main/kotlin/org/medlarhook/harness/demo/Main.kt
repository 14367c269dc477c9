package org.medlarhook.harness.demo

import org.medlarhook.harness.Binaries
import org.medlarhook.harness.bench.RelayBench
import java.nio.file.Path
import kotlin.system.exitProcess

private val RELAY_BENCH = listOf("--bench", "relay")

/** Starts a small fleet, runs real traffic through it, and prints a line for each step; or measures one entry. */
fun main(args: Array<String>) {
    val root = Path.of(System.getProperty("user.dir"))
    if (args.toList() == RELAY_BENCH) {
        RelayBench(Binaries.under(root), root.resolve("examples/brillo")).run()
        exitProcess(0)
    }
    val demo = Demo(Binaries.under(root), root.resolve("examples/brillo"), keep = "--keep" in args)
    exitProcess(if (demo.run()) 0 else 1)
}

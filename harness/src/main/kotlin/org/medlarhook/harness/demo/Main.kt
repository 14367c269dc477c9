package org.medlarhook.harness.demo

import org.medlarhook.harness.Binaries
import java.nio.file.Path
import kotlin.system.exitProcess

/** Starts a small fleet, runs real traffic through it, and prints a line for each step. */
fun main(args: Array<String>) {
    val root = Path.of(System.getProperty("user.dir"))
    val demo = Demo(Binaries.under(root), root.resolve("examples/brillo"), keep = "--keep" in args)
    exitProcess(if (demo.run()) 0 else 1)
}

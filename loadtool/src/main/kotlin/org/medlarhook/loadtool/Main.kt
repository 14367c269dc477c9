package org.medlarhook.loadtool

/** Starts the program. */
fun main() {
    println("loadtool")
}

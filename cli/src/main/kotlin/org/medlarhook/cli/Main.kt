package org.medlarhook.cli

/** Starts the program. */
fun main() {
    println("cli")
}

package org.medlarhook.standins

/** Starts the program. */
fun main() {
    println("standins")
}

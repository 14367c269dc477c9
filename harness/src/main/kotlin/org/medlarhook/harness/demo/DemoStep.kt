package org.medlarhook.harness.demo

/** A named step of the demonstration; [action] throws [IllegalStateException] if the step fails. */
internal class DemoStep(
    private val name: String,
    private val action: () -> Unit,
) {
    /** Runs the step and prints its outcome; returns true if it passed. */
    fun run(): Boolean =
        try {
            action()
            println("OK $name")
            true
        } catch (e: IllegalStateException) {
            println("FAILED $name: ${e.message}")
            false
        }
}

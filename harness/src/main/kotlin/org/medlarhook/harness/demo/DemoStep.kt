package org.medlarhook.harness.demo

/** A named step of the demonstration; [action] throws if it fails. */
internal class DemoStep(
    private val name: String,
    private val action: () -> Unit,
) {
    /** Runs the step and prints its outcome; true if it passed. */
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

package org.medlarhook.runtime.thread

import kotlin.concurrent.thread

/**
 * Repeats a step on a daemon thread until [isStopped].
 *
 * A step that throws, be it an error of the virtual machine, does not end the thread: it is logged, and tried again
 * after a pause that doubles up to [MAX_PAUSE_MS].
 *
 * @param onFailure called after a step that has thrown, on the same thread.
 * @param step one turn of the work, which does its own waiting.
 */
public class StepThread(
    private val name: String,
    private val isStopped: () -> Boolean = { false },
    private val onFailure: () -> Unit = {},
    private val step: () -> Unit,
) {
    private val failures = StepFailures(name)

    /** Starts the thread. */
    public fun start() {
        thread(name = name, isDaemon = true) {
            while (!isStopped()) turn()
        }
    }

    private fun turn() {
        if (failures.runCatching(step)) return
        if (isStopped()) return
        onFailure()
        Thread.sleep(pauseMs(failures.count))
    }

    public companion object {
        private const val MIN_PAUSE_MS = 100L
        private const val MAX_PAUSE_MS = 2_000L
        private const val MAX_DOUBLINGS = 10

        /** The pause after a number of [failures] in a row. */
        public fun pauseMs(failures: Int): Long =
            (MIN_PAUSE_MS shl (failures - 1).coerceIn(0, MAX_DOUBLINGS)).coerceAtMost(MAX_PAUSE_MS)
    }
}

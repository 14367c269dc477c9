package org.medlarhook.sidecar.attempt

import org.medlarhook.core.attempt.AttemptWork
import org.medlarhook.core.result.Failure

/** One attempt with the way to answer it. Exactly one of [run] and [refuse] is called, once. */
internal interface AttemptTask {
    /** What the scheduler knows of the attempt. */
    val work: AttemptWork

    /** Runs the attempt at the upstream. Blocks a worker until its end. */
    fun run(): AttemptEnd

    /** Gives the final answer of an attempt that was not run. */
    fun refuse(failure: Failure)

    /** Cancels the upstream's work if it may be cancelled. */
    fun stop()
}

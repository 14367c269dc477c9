package org.medlarhook.sidecar.attempt

import org.medlarhook.core.attempt.AttemptWork
import org.medlarhook.core.result.Failure

/**
 * One attempt and the call that it answers. Exactly one of [run] and [refuse] is called, once; [refuse] is also called
 * if [run] throws.
 */
internal interface AttemptTask {
    /** The attempt as the scheduler sees it. */
    val work: AttemptWork

    /** Runs the attempt at the upstream; blocks the calling worker thread until the attempt ends. */
    fun run(): AttemptEnd

    /** Sends [failure] as the final answer of an attempt that did not run, or whose [run] threw. */
    fun refuse(failure: Failure)

    /** Cancels the upstream's work, unless this kind of attempt must run to its end. */
    fun stop()
}

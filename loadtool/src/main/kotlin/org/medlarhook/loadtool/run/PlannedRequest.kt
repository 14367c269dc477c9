package org.medlarhook.loadtool.run

import org.medlarhook.loadtool.policy.KindSpec

/**
 * A request of the plan of a run.
 *
 * @property atMs scheduled send time since the start of the run.
 * @property deadlineMs limit on the time from sending to the complete answer.
 */
internal sealed interface PlannedRequest {
    val atMs: Double
    val workspace: String
    val deadlineMs: Double

    /** A chat completion. */
    data class Chat(
        override val atMs: Double,
        override val workspace: String,
        val kind: KindSpec,
        val prompt: String,
    ) : PlannedRequest {
        override val deadlineMs: Double get() = kind.deadlineMs
    }

    /** A call of a service, that is of an upstream other than an engine. */
    data class Service(
        override val atMs: Double,
        override val workspace: String,
        val call: ServiceCallSpec,
    ) : PlannedRequest {
        override val deadlineMs: Double get() = call.deadlineMs
    }
}

package org.medlarhook.loadtool.run

import org.medlarhook.loadtool.policy.KindSpec

/** A request with the time at which it shall be sent, counted from the start of the run. */
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

    /** A call of a plain service. */
    data class Service(
        override val atMs: Double,
        override val workspace: String,
        val call: ServiceCallSpec,
    ) : PlannedRequest {
        override val deadlineMs: Double get() = call.deadlineMs
    }
}

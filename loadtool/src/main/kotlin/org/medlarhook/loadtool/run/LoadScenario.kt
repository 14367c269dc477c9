package org.medlarhook.loadtool.run

import kotlinx.serialization.Serializable
import org.medlarhook.loadtool.policy.KindSpec
import org.medlarhook.loadtool.policy.PhasePoint
import org.medlarhook.loadtool.policy.WorkspaceSpec

/**
 * A load on running entries.
 *
 * @property workspaces workspaces that send requests; the `--key` options of the command line use the same names.
 * @property warmUpS requests sent in this first part of the run are not measured.
 * @property verdict chat requests with a long prompt and a short answer.
 * @property instruction chat requests with a short prompt and a long answer.
 * @property phases load of chat requests over time, as points with linear interpolation between them.
 * @property probeShare share of the refused requests that are sent again after their `Retry-After`.
 */
@Serializable
internal data class LoadScenario(
    val name: String,
    val durationS: Double,
    val warmUpS: Double = 5.0,
    val workspaces: List<WorkspaceSpec>,
    val verdict: KindSpec,
    val instruction: KindSpec,
    val phases: List<PhasePoint>,
    val services: List<ServiceCallSpec> = emptyList(),
    val probeShare: Double = 0.1,
) {
    /** Arrival rate and share of verdicts at [atS], linearly interpolated between [phases]. */
    fun phaseAt(atS: Double): PhasePoint = PhasePoint.between(phases, atS)
}

/** Calls of a service, that is of an upstream other than an engine, at a constant mean rate. */
@Serializable
internal data class ServiceCallSpec(
    val service: String,
    val method: String,
    val path: String,
    val body: String = "",
    val ratePerS: Double,
    val deadlineMs: Double = 5_000.0,
)

package org.medlarhook.loadtool.run

import kotlinx.serialization.Serializable
import org.medlarhook.loadtool.policy.KindSpec
import org.medlarhook.loadtool.policy.PhasePoint
import org.medlarhook.loadtool.policy.WorkspaceSpec

/**
 * A load on a running entry.
 *
 * @property workspaces with the names under which keys are given on the command line.
 * @property warmUpS beginning of the run that does not count.
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
    /** Arrivals per second and share of verdicts at [atS], linear between the points. */
    fun phaseAt(atS: Double): PhasePoint = PhasePoint.between(phases, atS)
}

/** Calls of a plain service at a constant rate. */
@Serializable
internal data class ServiceCallSpec(
    val service: String,
    val method: String,
    val path: String,
    val body: String = "",
    val ratePerS: Double,
    val deadlineMs: Double = 5_000.0,
)

package org.medlarhook.loadtool.policy

import kotlinx.serialization.Serializable

/**
 * Figures of a run that are not computed from its measured requests.
 *
 * @property requests all requests, with those of the warm-up.
 * @property crossMb request bodies sent to another region, in megabytes.
 */
internal data class PolicyCounts(
    val retries: Int,
    val requests: Int,
    val roleChanges: Int,
    val hitShare: Double,
    val crossMb: Double,
)

/**
 * The results of a run, from the requests that arrived after the warm-up.
 *
 * @property goodput share of the requests that were completed within their limits; see [SimulatedRequest.isInTime].
 * @property worstShare lowest goodput of a workspace, divided by the mean over the workspaces.
 * @property worstGoodput lowest goodput of a workspace.
 * @property lateShare share of the requests that were completed late, or not before the run ended.
 * @property retryShare retries divided by requests, both with those of the warm-up.
 * @property hitShare share of all started requests whose prefix was cached.
 * @property crossMb request bodies sent to another region, in megabytes.
 */
@Serializable
internal data class PolicyFigures(
    val requests: Int,
    val goodput: Double,
    val worstShare: Double,
    val worstGoodput: Double,
    val lateShare: Double,
    val refusedShare: Double,
    val failedShare: Double,
    val retryShare: Double,
    val roleChanges: Int,
    val hitShare: Double,
    val crossMb: Double,
) {
    companion object {
        /** Computes the results from [requests]; the worst workspace is taken from [workspaces] only. */
        fun of(requests: List<SimulatedRequest>, workspaces: List<Int>, counts: PolicyCounts): PolicyFigures {
            val byWorkspace = workspaces.map { id -> goodShare(requests.filter { it.workspaceIndex == id }) }
            return PolicyFigures(
                requests = requests.size,
                goodput = goodShare(requests),
                worstShare = byWorkspace.min() / byWorkspace.average().coerceAtLeast(MIN_SHARE),
                worstGoodput = byWorkspace.min(),
                lateShare = share(requests, Outcome.LATE) + share(requests, null),
                refusedShare = share(requests, Outcome.REFUSED),
                failedShare = share(requests, Outcome.FAILED),
                retryShare = counts.retries.toDouble() / counts.requests.coerceAtLeast(1),
                roleChanges = counts.roleChanges,
                hitShare = counts.hitShare,
                crossMb = counts.crossMb,
            )
        }

        private fun goodShare(requests: List<SimulatedRequest>): Double = share(requests, Outcome.GOOD)

        private fun share(requests: List<SimulatedRequest>, outcome: Outcome?): Double =
            requests.count { it.outcome == outcome }.toDouble() / requests.size.coerceAtLeast(1)

        private const val MIN_SHARE = 1e-9
    }
}

package org.medlarhook.loadtool.policy

import kotlinx.serialization.Serializable

/** Counts of a run that no single request holds. */
internal data class PolicyCounts(
    val retries: Int,
    val requests: Int,
    val roleChanges: Int,
    val hitShare: Double,
    val crossMb: Double,
)

/**
 * What a run gave.
 *
 * @property goodput share of the requests whose whole answer came in time.
 * @property worstShare goodput of the worst-served workspace over the mean of the workspaces.
 * @property retryShare retries over requests.
 * @property hitShare share of the started requests whose prefix was cached.
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
        fun of(jobs: List<Job>, workspaces: List<Int>, counts: PolicyCounts): PolicyFigures {
            val byWorkspace = workspaces.map { id -> goodShare(jobs.filter { it.workspace == id }) }
            return PolicyFigures(
                requests = jobs.size,
                goodput = goodShare(jobs),
                worstShare = byWorkspace.min() / byWorkspace.average().coerceAtLeast(MIN_SHARE),
                worstGoodput = byWorkspace.min(),
                lateShare = share(jobs, Outcome.LATE) + share(jobs, null),
                refusedShare = share(jobs, Outcome.REFUSED),
                failedShare = share(jobs, Outcome.FAILED),
                retryShare = counts.retries.toDouble() / counts.requests.coerceAtLeast(1),
                roleChanges = counts.roleChanges,
                hitShare = counts.hitShare,
                crossMb = counts.crossMb,
            )
        }

        private fun goodShare(jobs: List<Job>): Double = share(jobs, Outcome.GOOD)

        private fun share(jobs: List<Job>, outcome: Outcome?): Double =
            jobs.count { it.outcome == outcome }.toDouble() / jobs.size.coerceAtLeast(1)

        private const val MIN_SHARE = 1e-9
    }
}

package org.medlarhook.core.routing

/**
 * Decides whether a request is sent to another data centre because the local queue is too long.
 *
 * @param maxSummaryAgeMs age beyond which the summary of a data centre is ignored.
 * @param minGainMs gain in predicted wait that a request must exceed to leave its data centre.
 * @param msPerCostUnit delay that one unit of link cost counts as.
 */
public class SpillOver(
    private val maxSummaryAgeMs: Long = 10_000,
    private val minGainMs: Double = 100.0,
    private val msPerCostUnit: Double = 1_000.0,
) {
    /**
     * The data centre with the lowest sum of predicted wait, round trip and link cost, or null to use the local one. A
     * request leaves only if that sum is more than [minGainMs] below [localQueueMs]. Summaries older than
     * [maxSummaryAgeMs] are ignored.
     */
    public fun target(
        request: RouteRequest,
        localQueueMs: Double,
        summaries: List<DataCentreSummary>,
        links: Map<String, Link>,
        nowMs: Long,
    ): String? =
        summaries
            .filter {
                nowMs - it.updatedAtMs <= maxSummaryAgeMs &&
                    it.models.any { model -> model.satisfies(request.model) }
            }
            .mapNotNull { summary ->
                links[summary.dataCentre]?.let { summary.dataCentre to scoreMs(request, summary, it) }
            }
            .filter { (_, scoreMs) -> scoreMs + minGainMs < localQueueMs }
            .minByOrNull { (_, scoreMs) -> scoreMs }
            ?.first

    private fun scoreMs(request: RouteRequest, summary: DataCentreSummary, link: Link): Double =
        summary.queueMs + 2 * link.latencyMs + link.cost(request.bodyBytes) * msPerCostUnit
}

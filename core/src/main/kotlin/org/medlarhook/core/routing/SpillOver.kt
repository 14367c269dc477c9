package org.medlarhook.core.routing

/** Decides from digests whether a request leaves its data centre. */
public class SpillOver(
    private val maxDigestAgeMs: Long = 10_000,
    private val minGainMs: Double = 100.0,
    private val msPerCostUnit: Double = 1_000.0,
) {
    /**
     * The data centre with the least wait, link time and link price, or null to stay. A request stays unless it gains
     * [minGainMs], and digests past [maxDigestAgeMs] do not count.
     */
    public fun target(
        request: RouteRequest,
        localQueueMs: Double,
        digests: List<DataCentreDigest>,
        links: Map<String, Link>,
        nowMs: Long,
    ): String? =
        digests
            .filter {
                nowMs - it.updatedAtMs <= maxDigestAgeMs &&
                    it.models.any { model -> model.answers(request.model) }
            }
            .mapNotNull { digest -> links[digest.dataCentre]?.let { digest.dataCentre to costMs(request, digest, it) } }
            .filter { (_, costMs) -> costMs + minGainMs < localQueueMs }
            .minByOrNull { (_, costMs) -> costMs }
            ?.first

    private fun costMs(request: RouteRequest, digest: DataCentreDigest, link: Link): Double =
        digest.queueMs + 2 * link.latencyMs + link.cost(request.bodyBytes) * msPerCostUnit
}

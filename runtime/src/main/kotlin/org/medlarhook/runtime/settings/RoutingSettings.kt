package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable
import org.medlarhook.core.routing.RoutingPolicyName

/**
 * How an entry chooses upstreams.
 *
 * @property admission whether a request that is predicted to miss its deadline is refused at once.
 * @property admissionSlack share of the remaining time by which the predicted end may exceed the deadline before the
 * request is refused.
 * @property retryRatio number of retries that each request adds to the retry budget.
 * @property sameRegionMs one-way network latency to upstreams of the entry's own region.
 * @property otherRegionMs one-way network latency to upstreams of other regions.
 * @property otherRegionCostPerMb price of a megabyte sent to another region, in the site's units of cost.
 * @property prefillTokensPerS assumed prefill speed of an upstream that has not reported one.
 * @property decodeTokensPerS assumed decode speed of all streams of such an upstream together.
 * @property slots assumed number of batch slots of such an upstream.
 */
@Serializable
public data class RoutingSettings(
    val policy: RoutingPolicyName = RoutingPolicyName.TOKEN_WORK,
    val admission: Boolean = true,
    val admissionSlack: Double = 1.0,
    val retryRatio: Double = 0.1,
    val sameRegionMs: Double = 1.0,
    val otherRegionMs: Double = 20.0,
    val otherRegionCostPerMb: Double = 2.0,
    val prefillTokensPerS: Double = 8_000.0,
    val decodeTokensPerS: Double = 400.0,
    val slots: Int = 16,
)

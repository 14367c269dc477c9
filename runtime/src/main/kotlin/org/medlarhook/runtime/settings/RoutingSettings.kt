package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable
import org.medlarhook.core.routing.RoutingPolicyName

/**
 * How an entry chooses upstreams.
 *
 * @property admission whether requests that can't be in time are refused at once.
 * @property admissionSlack by which share of the remaining time an estimate may be late before it counts.
 * @property retryRatio retries that each request allows.
 * @property sameRegionMs latency to upstreams of the own region, one way.
 * @property otherRegionMs latency to upstreams of other regions, one way.
 * @property otherRegionCostPerMb price of a megabyte sent to another region, in the site's units of cost.
 * @property prefillTokensPerS speed of an upstream that has not reported one.
 * @property decodeTokensPerS speed of all streams of such an upstream together.
 * @property slots streams that such an upstream runs at once.
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

package org.medlarhook.core.spending

/**
 * Settings of [SpendingPlanner].
 *
 * @property weights the relative importance of cost and goodput at the site.
 * @property arrivalDelayMs time from the order of an upstream until it serves.
 * @property targetUtilisation planned utilisation of an upstream, as a share of the work that it can do.
 * @property stopAfterMs time without changes before an upstream is drained.
 * @property maxAgeMs age of the newest measurement beyond which nothing is ordered.
 */
public data class SpendingSettings(
    val weights: SiteWeights = SiteWeights(),
    val arrivalDelayMs: Long = 60_000,
    val targetUtilisation: Double = 0.75,
    val minUpstreams: Int = 1,
    val maxUpstreams: Int,
    val stopAfterMs: Long = 60_000,
    val maxAgeMs: Long = 10_000,
)

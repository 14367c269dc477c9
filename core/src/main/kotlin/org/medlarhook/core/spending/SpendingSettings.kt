package org.medlarhook.core.spending

/**
 * Settings of [SpendingPlanner].
 *
 * @property arrivalDelayMs how long an ordered upstream takes to arrive.
 * @property targetUtilisation share of an upstream's speed that is planned to be used.
 * @property stopAfterMs how long nothing must have changed before an upstream is drained.
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

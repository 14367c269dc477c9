package org.medlarhook.core.retry

/**
 * Settings of [OutlierEjection].
 *
 * @property consecutiveFailures consecutive failures after which an upstream is ejected.
 * @property failureShare share of failures from which an upstream is ejected, given [minOutcomes] recent outcomes.
 * @property baseEjectionMs length of the first ejection; each further one doubles it up to [maxEjectionMs].
 * @property decayMs time constant with which the counts of recent outcomes decay.
 * @property maxEjectedShare largest share of the upstreams that is ejected at the same time.
 * @property slowStartMs time in which the load rises to the full share after an ejection or a start.
 * @property slowStartShare share of the load with which a slow start begins.
 */
public data class EjectionSettings(
    val consecutiveFailures: Int = 3,
    val failureShare: Double = 0.5,
    val minOutcomes: Int = 10,
    val decayMs: Long = 10_000,
    val baseEjectionMs: Long = 2_000,
    val maxEjectionMs: Long = 60_000,
    val maxEjectedShare: Double = 0.5,
    val slowStartMs: Long = 10_000,
    val slowStartShare: Double = 0.1,
)

package org.medlarhook.core.retry

/**
 * Settings of [OutlierEjection].
 *
 * @property consecutiveFailures failures in a row that eject.
 * @property failureShare share of failures that ejects, once [minAnswers] recent answers are known.
 * @property baseOutMs length of the first ejection; each further one doubles it up to [maxOutMs].
 * @property slowStartShare share of the load at the beginning of a slow start.
 */
public data class EjectionSettings(
    val consecutiveFailures: Int = 3,
    val failureShare: Double = 0.5,
    val minAnswers: Int = 10,
    val memoryMs: Long = 10_000,
    val baseOutMs: Long = 2_000,
    val maxOutMs: Long = 60_000,
    val maxEjectedShare: Double = 0.5,
    val slowStartMs: Long = 10_000,
    val slowStartShare: Double = 0.1,
)

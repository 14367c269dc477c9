package org.medlarhook.serving.process

/**
 * The limits within which a serving process keeps.
 *
 * @property keyTrustMs the greatest age of the last confirmed configuration at which keys are accepted.
 * @property repeatRatio repeats for each request of a service, all processes together.
 * @property repeatSlack repeats in a window besides, all processes together.
 * @property shutdownMs how long a graceful shutdown may take.
 */
public data class ServingBounds(
    val keyTrustMs: Long,
    val repeatRatio: Double,
    val repeatSlack: Double,
    val repeatWindowMs: Long,
    val usageWindowMs: Long,
    val usageLateMs: Long,
    val leaseMs: Long,
    val shutdownMs: Long,
)

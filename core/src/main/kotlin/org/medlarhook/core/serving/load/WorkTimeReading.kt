package org.medlarhook.core.serving.load

/**
 * How long work takes at an upstream, as it reported at one moment.
 *
 * @property factor the time divided by the usual time of the service's upstreams.
 * @property mean the mean factor of this upstream so far; upstreams may differ for good.
 * @property readings the readings in [mean].
 */
public data class WorkTimeReading(
    val factor: Double,
    val atMs: Long,
    val mean: Double,
    val readings: Int = 1,
)

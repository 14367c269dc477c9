package org.medlarhook.harness.capacity

import kotlinx.serialization.Serializable
import kotlin.math.abs

/**
 * A line fitted to points by least squares.
 *
 * @property worstResidual the largest absolute difference of a value from the line, in the unit of the values.
 */
@Serializable
internal data class LinearFit(
    val intercept: Double,
    val slope: Double,
    val worstResidual: Double,
) {
    companion object {
        /** Fits a line through [points], at least two of them with different sizes. */
        fun through(points: List<FitPoint>): LinearFit {
            val meanSize = points.map { it.size }.average()
            val meanValue = points.map { it.value }.average()
            val covariance = points.sumOf { (it.size - meanSize) * (it.value - meanValue) }
            val slope = covariance / points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val intercept = meanValue - slope * meanSize
            return LinearFit(intercept, slope, points.maxOf { abs(it.value - intercept - slope * it.size) })
        }
    }
}

/** A value measured at one size of a dimension. */
internal data class FitPoint(
    val size: Double,
    val value: Double,
)

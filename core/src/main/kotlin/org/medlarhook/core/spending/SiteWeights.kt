package org.medlarhook.core.spending

/**
 * How a site trades its aims against each other; only the ratios count.
 *
 * @property cost weight of an upstream's running time.
 * @property goodput weight of answers in time.
 * @property worstServed weight of the worst-served workspace.
 */
public data class SiteWeights(
    val cost: Double = 1.0,
    val goodput: Double = 1.0,
    val worstServed: Double = 1.0,
) {
    /** The probability with which the capacity shall cover the demand. */
    public val coverage: Double get() = (goodput + worstServed) / (goodput + worstServed + cost)
}

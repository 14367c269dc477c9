package org.medlarhook.core.spending

/**
 * The relative importance of a site's objectives; only the ratios matter.
 *
 * @property cost weight of the running time of upstreams.
 * @property goodput weight of answers that meet their deadline.
 * @property worstServed weight of the goodput of the worst-served workspace.
 */
public data class SiteWeights(
    val cost: Double = 1.0,
    val goodput: Double = 1.0,
    val worstServed: Double = 1.0,
) {
    /** The target probability that the capacity covers the demand: the critical ratio of the newsvendor model. */
    public val coverage: Double get() = (goodput + worstServed) / (goodput + worstServed + cost)
}

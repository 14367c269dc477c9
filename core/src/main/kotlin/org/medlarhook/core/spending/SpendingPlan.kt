package org.medlarhook.core.spending

/**
 * What to order now.
 *
 * @property start the number of upstreams to start.
 * @property undrain upstreams that take work again, which costs less than a start.
 * @property drain upstreams that get no new work from now on.
 * @property stop drained upstreams to stop.
 */
public data class SpendingPlan(
    val start: Int,
    val undrain: List<String>,
    val drain: List<String>,
    val stop: List<String>,
    val forecast: DemandForecast,
)

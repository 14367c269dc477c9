package org.medlarhook.core.spending

/**
 * The orders to issue now.
 *
 * @property start number of upstreams to start.
 * @property undrain draining upstreams that accept work again, which costs less than a start.
 * @property drain upstreams that accept no new work from now on.
 * @property stop drained upstreams to stop.
 * @property forecast the forecast to pass to the next call of [SpendingPolicy.plan].
 */
public data class SpendingPlan(
    val start: Int,
    val undrain: List<String>,
    val drain: List<String>,
    val stop: List<String>,
    val forecast: DemandForecast,
)

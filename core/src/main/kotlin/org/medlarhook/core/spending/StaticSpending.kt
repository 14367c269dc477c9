package org.medlarhook.core.spending

/** Baseline: what runs goes on running. */
public object StaticSpending : SpendingPolicy {
    override fun plan(observation: SpendingObservation, forecast: DemandForecast, nowMs: Long): SpendingPlan =
        SpendingPlan(0, emptyList(), emptyList(), emptyList(), forecast)
}

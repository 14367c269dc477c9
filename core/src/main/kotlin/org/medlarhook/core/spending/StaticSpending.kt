package org.medlarhook.core.spending

/** Baseline that never starts, drains or stops an upstream. */
public object StaticSpending : SpendingPolicy {
    override fun plan(observation: SpendingObservation, forecast: DemandForecast, nowMs: Long): SpendingPlan =
        SpendingPlan(0, emptyList(), emptyList(), emptyList(), forecast)
}

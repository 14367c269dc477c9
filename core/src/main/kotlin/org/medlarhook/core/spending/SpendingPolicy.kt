package org.medlarhook.core.spending

/** Decides how many upstreams run in a data centre. */
public interface SpendingPolicy {
    /** Plans at [nowMs] from [forecast], the state that the last plan returned. */
    public fun plan(observation: SpendingObservation, forecast: DemandForecast, nowMs: Long): SpendingPlan
}

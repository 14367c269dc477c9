package org.medlarhook.core.spending

/** Autoscaling policy: decides how many upstreams run in a data centre. */
public interface SpendingPolicy {
    /** The plan at [nowMs]; [forecast] is the one that the previous plan returned. */
    public fun plan(observation: SpendingObservation, forecast: DemandForecast, nowMs: Long): SpendingPlan
}

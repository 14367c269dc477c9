package org.medlarhook.core.role

/** Decides which upstreams change their role. */
public interface RolePolicy {
    /** The plan at [nowMs]; [forecast] is the one that the previous plan returned. */
    public fun plan(observation: RoleObservation, forecast: PrefillShareForecast, nowMs: Long): RolePlan
}

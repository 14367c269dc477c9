package org.medlarhook.core.role

/** Decides which upstreams take another role. */
public interface RolePolicy {
    /** Plans at [nowMs] from [forecast], the state that the last plan returned. */
    public fun plan(observation: RoleObservation, forecast: PrefillShareForecast, nowMs: Long): RolePlan
}

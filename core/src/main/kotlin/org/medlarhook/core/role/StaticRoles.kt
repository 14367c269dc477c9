package org.medlarhook.core.role

/** Baseline: roles stay as they are. */
public object StaticRoles : RolePolicy {
    override fun plan(observation: RoleObservation, forecast: PrefillShareForecast, nowMs: Long): RolePlan =
        RolePlan(emptyList(), forecast)
}

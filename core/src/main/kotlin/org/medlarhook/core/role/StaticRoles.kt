package org.medlarhook.core.role

/** Baseline that never changes a role. */
public object StaticRoles : RolePolicy {
    override fun plan(observation: RoleObservation, forecast: PrefillShareForecast, nowMs: Long): RolePlan =
        RolePlan(emptyList(), forecast)
}

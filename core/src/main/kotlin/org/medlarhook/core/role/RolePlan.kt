package org.medlarhook.core.role

/** The changes to order now, and the planner's state for the next call. */
public data class RolePlan(
    val changes: List<RoleChange>,
    val forecast: PrefillShareForecast,
)

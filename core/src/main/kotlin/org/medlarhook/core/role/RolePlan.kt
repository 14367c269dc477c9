package org.medlarhook.core.role

/** The role [changes] to order now, and the [forecast] to pass to the next call of [RolePolicy.plan]. */
public data class RolePlan(
    val changes: List<RoleChange>,
    val forecast: PrefillShareForecast,
)

package org.medlarhook.core.role

/**
 * Settings of [RolePlanner].
 *
 * @property roleChangeMs how long an upstream serves no requests while it changes its role.
 * @property horizonMs how long the forecast share of prefill work is expected to last.
 * @property minGain minimum gain of a change within the horizon, as a multiple of the work lost by the change.
 * @property minDwellMs minimum time that an upstream stays in a role.
 * @property maxMoving number of upstreams that may change their role at once.
 * @property maxAgeMs age of the newest measurement beyond which no role is changed.
 */
public data class RoleSettings(
    val roleChangeMs: Long = 4_000,
    val horizonMs: Long = 60_000,
    val minGain: Double = 4.0,
    val minDwellMs: Long = 30_000,
    val maxMoving: Int = 1,
    val maxAgeMs: Long = 5_000,
)

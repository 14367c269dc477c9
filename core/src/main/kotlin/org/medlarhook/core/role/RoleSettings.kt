package org.medlarhook.core.role

/**
 * Settings of [RolePlanner].
 *
 * @property roleChangeMs how long a change takes an upstream away.
 * @property horizonMs how long the forecast mix is expected to last.
 * @property minGain how many times the work lost by a change must be won back within the horizon.
 * @property maxMoving upstreams that may be away at once.
 * @property maxAgeMs age of the measurement beyond which nothing is changed.
 */
public data class RoleSettings(
    val roleChangeMs: Long = 4_000,
    val horizonMs: Long = 60_000,
    val minGain: Double = 4.0,
    val minDwellMs: Long = 30_000,
    val maxMoving: Int = 1,
    val maxAgeMs: Long = 5_000,
)

package org.medlarhook.core.role

import org.medlarhook.core.routing.WorkTokens

/**
 * The upstreams of one data centre and their demand, as known when a plan is made.
 *
 * @property demandPerS tokens asked for per second of each phase, measured up to [measuredAtMs].
 */
public data class RoleObservation(
    val upstreams: List<RoleAssignment>,
    val demandPerS: WorkTokens,
    val prefillTokensPerS: Double,
    val decodeTokensPerS: Double,
    val measuredAtMs: Long,
)

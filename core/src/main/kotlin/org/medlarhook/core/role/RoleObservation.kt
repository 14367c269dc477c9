package org.medlarhook.core.role

import org.medlarhook.core.routing.WorkTokens

/**
 * The upstreams of one data centre and the demand on them, as known when a plan is made.
 *
 * @property demandPerS tokens requested per second in each phase, measured up to [measuredAtMs].
 * @property prefillTokensPerS prefill speed of one upstream.
 * @property decodeTokensPerS decode speed of one upstream with a full batch.
 */
public data class RoleObservation(
    val upstreams: List<RoleAssignment>,
    val demandPerS: WorkTokens,
    val prefillTokensPerS: Double,
    val decodeTokensPerS: Double,
    val measuredAtMs: Long,
)

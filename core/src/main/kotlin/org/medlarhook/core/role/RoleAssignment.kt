package org.medlarhook.core.role

/**
 * The role that an upstream has.
 *
 * @property sinceMs time at which the upstream was moved to the role.
 * @property changing true while the upstream carries out a role change or drains.
 */
public data class RoleAssignment(
    val upstreamId: String,
    val role: UpstreamRole,
    val sinceMs: Long,
    val changing: Boolean = false,
)

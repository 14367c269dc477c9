package org.medlarhook.core.role

/**
 * An upstream with its role.
 *
 * @property sinceMs when it took the role.
 * @property changing true while an order is being carried out, or while it drains.
 */
public data class RoleAssignment(
    val upstreamId: String,
    val role: UpstreamRole,
    val sinceMs: Long,
    val changing: Boolean = false,
)

package org.medlarhook.core.role

/** An order for one upstream to take another role. */
public data class RoleChange(
    val upstreamId: String,
    val to: UpstreamRole,
)

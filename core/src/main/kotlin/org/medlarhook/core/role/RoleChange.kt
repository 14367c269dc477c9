package org.medlarhook.core.role

/** An order that moves the upstream [upstreamId] to the role [to]. */
public data class RoleChange(
    val upstreamId: String,
    val to: UpstreamRole,
)

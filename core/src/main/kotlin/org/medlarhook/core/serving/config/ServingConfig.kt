package org.medlarhook.core.serving.config

import kotlinx.collections.immutable.PersistentMap

/**
 * One version of the operators' configuration.
 *
 * @property workspaceByKey the workspace of each API key, or null if no workspaces are configured.
 */
public data class ServingConfig(
    val version: Long,
    val routes: RouteTable,
    val services: PersistentMap<String, ServiceSpec>,
    val limits: CallerLimits,
    val workspaceByKey: PersistentMap<String, Workspace>?,
)

/** A workspace; its [priority], if set, overrides the route's. Without an [allowance] it is not limited. */
public data class Workspace(
    val name: String,
    val priority: Int?,
    val allowance: Allowance? = null,
)

/** Limits for the size of a caller's request and for the time to send it. */
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMs: Long,
    val idleTimeoutMs: Long,
)

package org.medlarhook.core.serving.config

import kotlinx.collections.immutable.PersistentMap

/**
 * A version of the configuration.
 *
 * @property workspaceByKey the workspace that holds each key; null if no workspaces are configured.
 */
public data class ServingConfig(
    val version: Long,
    val routes: RouteTable,
    val services: PersistentMap<String, ServiceSpec>,
    val limits: CallerLimits,
    val workspaceByKey: PersistentMap<String, Workspace>?,
)

/** A workspace; its [priority], if set, goes before the route's. */
public data class Workspace(
    val name: String,
    val priority: Int?,
)

/** What a caller may send, and how long it may take. */
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMs: Long,
    val idleTimeoutMs: Long,
)

package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/** An order that a sidecar sends to its engine. */
@Serializable
internal data class EngineOrderBody(
    val action: String,
    val fencingNumber: Long,
    val model: String = "",
    val version: String = "",
    val adapter: String = "",
    val role: String = "",
)

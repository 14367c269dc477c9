package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/** An order as a sidecar gives it. */
@Serializable
internal data class EngineOrderBody(
    val action: String,
    val fencingNumber: Long,
    val model: String = "",
    val version: String = "",
    val adapter: String = "",
    val role: String = "",
)

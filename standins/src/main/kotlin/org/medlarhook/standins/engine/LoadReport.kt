package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/** Load as the engine publishes it. */
@Serializable
internal data class LoadReport(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val role: String,
    val atMs: Long,
)

package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/** A load report of the engine: streams in the batch and waiting, batch slots, and role at [atMs] on the wall clock. */
@Serializable
internal data class LoadReport(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val role: String,
    val atMs: Long,
)

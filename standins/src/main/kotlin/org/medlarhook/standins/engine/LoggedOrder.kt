package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/** An order with what became of it. */
@Serializable
internal data class LoggedOrder(
    val order: EngineOrderBody,
    val applied: Boolean,
    val startedAtMs: Long,
    val finishedAtMs: Long,
)

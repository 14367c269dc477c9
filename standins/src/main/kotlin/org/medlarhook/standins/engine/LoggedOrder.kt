package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/** An order, whether it was applied or refused, and when. */
@Serializable
internal data class LoggedOrder(
    val order: EngineOrderBody,
    val applied: Boolean,
    val startedAtMs: Long,
    val finishedAtMs: Long,
)

package org.medlarhook.sidecar.engine

/** The engine's reply to an order. */
internal sealed interface EngineReply {
    /** The engine has executed the order. */
    data object Done : EngineReply

    /** The engine refused the order, for instance because its fencing number is too old. */
    data class Refused(
        val detail: String,
    ) : EngineReply

    /** The engine was not reached, its answer was lost, or it failed: the order may have been executed. */
    data class Unknown(
        val detail: String,
    ) : EngineReply
}

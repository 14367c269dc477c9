package org.medlarhook.sidecar.engine

/** What became of an order. */
internal sealed interface EngineReply {
    /** The engine has carried it out. */
    data object Done : EngineReply

    /** The engine refused it, for instance for its fencing number. */
    data class Refused(
        val detail: String,
    ) : EngineReply

    /** The engine was not reached or its answer was lost. */
    data class Unknown(
        val detail: String,
    ) : EngineReply
}

package org.medlarhook.sidecar.engine

/** What an engine can be ordered to do. */
internal sealed interface EngineAction {
    /** Loads [model] at [version]. */
    data class LoadModel(
        val model: String,
        val version: String,
    ) : EngineAction

    /** Loads [adapter] of [model] at [version]. */
    data class LoadAdapter(
        val model: String,
        val adapter: String,
        val version: String,
    ) : EngineAction

    /** Removes [model]. */
    data class UnloadModel(
        val model: String,
    ) : EngineAction

    /** Changes the kind of work to [role], one of mixed, prefill and decode. */
    data class SetRole(
        val role: String,
    ) : EngineAction
}

package org.medlarhook.sidecar.engine

/** An order that an engine can execute. */
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

    /** Unloads [model]. */
    data class UnloadModel(
        val model: String,
    ) : EngineAction

    /** Changes the engine's role to [role]: `mixed`, `prefill` or `decode`. */
    data class SetRole(
        val role: String,
    ) : EngineAction
}

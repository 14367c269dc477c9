package org.medlarhook.core.order

/** What became of a call of the engine. */
public sealed interface EngineOutcome {
    /** The engine has done it. */
    public data object Done : EngineOutcome

    /** The engine will not do it. */
    public data class Refused(
        val detail: String,
    ) : EngineOutcome

    /** The engine was not reached, or its answer was lost. */
    public data class Unknown(
        val detail: String,
    ) : EngineOutcome
}

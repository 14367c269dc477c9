package org.medlarhook.core.order

/** The outcome of a call to the engine. */
public sealed interface EngineOutcome {
    /** The engine has carried out the order. */
    public data object Done : EngineOutcome

    /** The engine has refused the order. */
    public data class Refused(
        val detail: String,
    ) : EngineOutcome

    /** The engine was not reached, or its answer was lost: it may have carried out the order. */
    public data class Unknown(
        val detail: String,
    ) : EngineOutcome
}

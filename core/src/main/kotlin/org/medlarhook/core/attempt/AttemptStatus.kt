package org.medlarhook.core.attempt

/** What is known of an attempt. */
public sealed interface AttemptStatus<out A> {
    /** It never started and never will. */
    public data object Sealed : AttemptStatus<Nothing>

    /** It runs. */
    public data object Running : AttemptStatus<Nothing>

    /** It ended. [answer] is null if it left none or the answer is no longer retained. */
    public data class Finished<A>(
        val answer: A?,
    ) : AttemptStatus<A>

    /** This process can't tell. */
    public data object Undetermined : AttemptStatus<Nothing>
}

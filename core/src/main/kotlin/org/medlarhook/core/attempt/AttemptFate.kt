package org.medlarhook.core.attempt

/** What is known of an attempt. */
public sealed interface AttemptFate<out A> {
    /** It never started and never will. */
    public data object Sealed : AttemptFate<Nothing>

    /** It runs. */
    public data object Running : AttemptFate<Nothing>

    /** It ended. [answer] is null if it left none or the answer is no longer retained. */
    public data class Finished<A>(
        val answer: A?,
    ) : AttemptFate<A>

    /** This process can't tell. */
    public data object Undetermined : AttemptFate<Nothing>
}

package org.medlarhook.core.attempt

/** The status of an attempt as the registry has it. */
public sealed interface AttemptStatus<out A> {
    /** The attempt has not started and never will. */
    public data object Sealed : AttemptStatus<Nothing>

    /** The attempt is running. */
    public data object Running : AttemptStatus<Nothing>

    /** The attempt has ended. [answer] is null if it has none, or none that is still retained. */
    public data class Finished<A>(
        val answer: A?,
    ) : AttemptStatus<A>

    /** This process does not have the status: the attempt may or may not have run. */
    public data object Undetermined : AttemptStatus<Nothing>
}

package org.medlarhook.core.intent

/** Why an intent was not opened or not finished. */
public sealed interface IntentRefusal {
    /** The lease has lapsed or passed to another process. */
    public data object NotInCharge : IntentRefusal

    /** The present intent is not finished yet. */
    public data class PreviousOpen(
        val row: IntentRow,
    ) : IntentRefusal

    /** The row changed first. */
    public data object Conflict : IntentRefusal

    /** The tables were not reached. */
    public data object TablesUnavailable : IntentRefusal

    /** An answer of the tables was lost; the next run reads the row. */
    public data object OutcomeUnknown : IntentRefusal

    /** The platform did not accept the order, or its answer was lost; the next run repeats the same order. */
    public data object NotAccepted : IntentRefusal
}

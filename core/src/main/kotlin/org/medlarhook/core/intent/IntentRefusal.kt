package org.medlarhook.core.intent

/** Why an intent was not opened or not finished. */
public sealed interface IntentRefusal {
    /** The lease has expired or another process has acquired it. */
    public data object NotInCharge : IntentRefusal

    /** The previous intent is not finished yet. */
    public data class PreviousOpen(
        val row: IntentRow,
    ) : IntentRefusal

    /** The row changed after it was read. */
    public data object Conflict : IntentRefusal

    /** The tables could not be reached. */
    public data object TablesUnavailable : IntentRefusal

    /** An answer of the tables was lost; the next run reads the row. */
    public data object OutcomeUnknown : IntentRefusal

    /** The platform did not accept the order, or its answer was lost; the next run sends the same order again. */
    public data object NotAccepted : IntentRefusal
}

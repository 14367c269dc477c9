package org.medlarhook.ports

/** Why the table service did not do as asked. */
public sealed interface TableFailure {
    /** A condition did not hold, and nothing was written. [current] shows the rows of the failed conditions. */
    public data class Conflict(
        val current: List<Row>,
    ) : TableFailure

    /** The service was not reached or refused, and nothing was written. */
    public data class Unavailable(
        val detail: String,
    ) : TableFailure

    /** The answer was lost: the writes may or may not have happened. */
    public data class OutcomeUnknown(
        val detail: String,
    ) : TableFailure
}

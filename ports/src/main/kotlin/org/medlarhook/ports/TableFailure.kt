package org.medlarhook.ports

/** Why a call of the table service, or of another service of the platform, failed. */
public sealed interface TableFailure {
    /**
     * A condition did not hold, and nothing was written.
     *
     * @property current the rows of the failed conditions, as far as they exist.
     */
    public data class Conflict(
        val current: List<Row>,
    ) : TableFailure

    /** The service was unreachable or refused the call, and nothing was written. */
    public data class Unavailable(
        val detail: String,
    ) : TableFailure

    /** The answer was lost, and the writes may or may not have been applied. */
    public data class OutcomeUnknown(
        val detail: String,
    ) : TableFailure
}

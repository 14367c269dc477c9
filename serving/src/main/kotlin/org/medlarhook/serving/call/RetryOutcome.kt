package org.medlarhook.serving.call

/** What became of a retry that a request needed. */
internal enum class RetryOutcome {
    WITHDRAWN,

    /** The budget was used up. */
    REFUSED,

    /** Withdrawn, and put back because it was no retry after all: not sent, or the first prefill that was accepted. */
    RETURNED,
}

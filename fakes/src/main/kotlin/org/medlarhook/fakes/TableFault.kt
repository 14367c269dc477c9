package org.medlarhook.fakes

/** The fault that a [FaultyTableService] injects into calls of the table service. */
public enum class TableFault {
    /** No fault: the call reaches the service and is answered. */
    NONE,

    /** The service is unreachable, and the call fails without effect. */
    UNAVAILABLE,

    /** The call takes effect, but its answer is lost. */
    ANSWER_LOST,

    /** The call is lost before it reaches the service; the caller can't distinguish this from [ANSWER_LOST]. */
    REQUEST_LOST,
}

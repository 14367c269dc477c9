package org.medlarhook.fakes

/** What goes wrong with a call of the table service. */
public enum class TableFault {
    /** The call works. */
    NONE,

    /** The service is not reached, and nothing happens. */
    UNAVAILABLE,

    /** The call takes effect, and its answer is lost. */
    ANSWER_LOST,

    /** The call is lost on the way, and the caller can't tell. */
    REQUEST_LOST,
}

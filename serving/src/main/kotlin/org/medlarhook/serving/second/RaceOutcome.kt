package org.medlarhook.serving.second

/** Which of two attempts answered a request. */
internal enum class RaceOutcome {
    WON_BY_FIRST,
    WON_BY_SECOND,

    /** Neither answered, because both failed, or the request ended before. */
    NOT_ANSWERED,
    ;

    /** The value in metrics and in the request's log line. */
    val label: String = name.lowercase()
}

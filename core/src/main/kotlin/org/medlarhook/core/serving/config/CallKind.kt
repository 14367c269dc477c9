package org.medlarhook.core.serving.config

/** What may be done again with a request of a route. */
public enum class CallKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** May run once at most. */
    NON_IDEMPOTENT,

    /** Answers with a series of events; runs once at most unless the route's streams may be resumed. */
    STREAM,
}

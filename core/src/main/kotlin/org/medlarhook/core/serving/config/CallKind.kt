package org.medlarhook.core.serving.config

/** How often a request of a route may run. */
public enum class CallKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** May run at most once. */
    NON_IDEMPOTENT,

    /** Is answered by a stream of events; runs at most once unless the route's streams are resumable. */
    STREAM,
}

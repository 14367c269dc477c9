package org.medlarhook.serving.duty

import arrow.core.Either

/** Delivers usage reports to the platform. The same report may be delivered more than once. */
public interface WindowReporting {
    /**
     * Delivers the counts of [window] for [holder] with its [fencingToken]; returns the cause if that fails. Nothing is
     * sent unless [isPermitted] holds immediately before, once there is a connection.
     */
    public fun deliver(
        window: Long,
        countByWorkspace: Map<String, Long>,
        holder: String,
        fencingToken: Long,
        isPermitted: () -> Boolean,
    ): Either<String, Unit>
}

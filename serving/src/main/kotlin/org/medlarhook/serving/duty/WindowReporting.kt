package org.medlarhook.serving.duty

import arrow.core.Either

/** Delivers the usage of a window to the platform; the same report may be delivered again. */
public interface WindowReporting {
    /** Delivers [countByWorkspace] of [window] for [holder], whose fencing token is [fencingToken]. */
    public fun deliver(
        window: Long,
        countByWorkspace: Map<String, Long>,
        holder: String,
        fencingToken: Long,
    ): Either<String, Unit>
}

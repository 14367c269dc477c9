package org.medlarhook.core.serving.resume

import org.medlarhook.core.serving.fleet.Upstream

/** Where the stream of a request has begun. What two software versions write does not fit together in one stream. */
public sealed interface StreamOrigin {
    /** Returns true if [upstream] may begin the stream or go on with it. */
    public fun permits(upstream: Upstream): Boolean

    /** No event has reached the caller, so that any upstream may begin the stream. */
    public data object NotBegun : StreamOrigin {
        override fun permits(upstream: Upstream): Boolean = true
    }

    /** The stream has begun at an upstream of [service] with [softwareVersion]. */
    public data class BegunAt(
        val service: String,
        val softwareVersion: String,
    ) : StreamOrigin {
        override fun permits(upstream: Upstream): Boolean =
            upstream.service == service && upstream.softwareVersion == softwareVersion
    }

    /** The stream has begun at a version that is not known, so that no upstream may go on with it. */
    public data object Unknown : StreamOrigin {
        override fun permits(upstream: Upstream): Boolean = false
    }

    public companion object {
        /** The origin of a stream that began at [upstream]. */
        public fun of(upstream: Upstream?): StreamOrigin =
            upstream?.softwareVersion?.let { BegunAt(upstream.service, it) } ?: Unknown
    }
}

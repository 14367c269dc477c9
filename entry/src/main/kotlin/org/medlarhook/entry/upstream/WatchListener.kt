package org.medlarhook.entry.upstream

import org.medlarhook.protocol.UpstreamStatus

/** Receives the status changes of upstreams. */
internal interface WatchListener {
    /** Handles [status]; [before] is the previous one, or null if this is the first since the stream was opened. */
    fun changed(link: UpstreamLink, before: UpstreamStatus?, status: UpstreamStatus)

    /** Handles the end of the status stream of [link]. */
    fun lost(link: UpstreamLink)
}

package org.medlarhook.entry.upstream

import org.medlarhook.protocol.UpstreamStatus

/** Hears of changes of upstreams. */
internal interface WatchListener {
    /** A status came; [before] is null if it is the first on its channel. */
    fun changed(link: UpstreamLink, before: UpstreamStatus?, status: UpstreamStatus)

    /** The status stream has ended. */
    fun lost(link: UpstreamLink)
}

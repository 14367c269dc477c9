package org.medlarhook.entry.routing

import org.medlarhook.entry.upstream.UpstreamLink
import org.medlarhook.entry.upstream.WatchListener
import org.medlarhook.ports.TimeSource
import org.medlarhook.protocol.UpstreamStatus

/** Records the load report in each status in [loads], and forwards all calls to [next]. */
internal class LoadWatchListener(
    private val loads: UpstreamLoads,
    private val time: TimeSource,
    private val next: WatchListener,
) : WatchListener {
    override fun changed(link: UpstreamLink, before: UpstreamStatus?, status: UpstreamStatus) {
        if (status.hasLoad()) loads.reported(link.registration.upstreamId, status.load, time.monotonicMs())
        next.changed(link, before, status)
    }

    override fun lost(link: UpstreamLink) = next.lost(link)
}

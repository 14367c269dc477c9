package org.medlarhook.entry.upstream

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.protocol.UpstreamStatus
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent

private val logger = KotlinLogging.logger {}

/** Logs when an upstream connects, starts to drain or is lost. */
internal object LoggedWatchListener : WatchListener {
    override fun changed(link: UpstreamLink, before: UpstreamStatus?, status: UpstreamStatus) {
        val id = link.registration.upstreamId
        if (before == null) {
            logger.event(LogEvent.UPSTREAM_CONNECTED, "upstream" to id, "incarnation" to status.incarnation)
        }
        if (status.draining && before?.draining != true) logger.event(LogEvent.UPSTREAM_DRAINING, "upstream" to id)
    }

    override fun lost(link: UpstreamLink) {
        logger.warnEvent(LogEvent.UPSTREAM_LOST, "upstream" to link.registration.upstreamId)
    }
}

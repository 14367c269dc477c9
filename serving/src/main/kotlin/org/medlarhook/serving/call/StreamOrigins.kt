package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.core.serving.fleet.UpstreamRegistry
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.resume.StreamOrigin
import org.medlarhook.core.serving.resume.StreamVersions

/** Knows at which software version streams began, for callers that take up a broken one. Used on the event loop only. */
internal class StreamOrigins {
    private var versions = StreamVersions()
    private var registry = UpstreamRegistry()

    /** Follows the registry from its state before [update] to [after]. */
    fun registryUpdated(update: RegistryUpdate, after: UpstreamRegistry, nowMs: Long) {
        val changed = versions.registryChanged(registry.all(), after.all(), nowMs)
        versions =
            when (update) {
                is RegistryUpdate.Changes -> changed
                is RegistryUpdate.Listing -> changed.registryRead(nowMs)
                is RegistryUpdate.Unreachable -> versions.registryLost()
            }
        registry = after
    }

    /** Records the stream of [call], whose first event was made at [softwareVersion]. */
    fun began(call: CallerCall, demand: Demand, softwareVersion: String?, nowMs: Long) {
        if (!demand.route.isResumable || softwareVersion == null) return
        val attemptId = call.resumedAttemptId ?: call.attemptId ?: return
        versions = versions.began(attemptId, softwareVersion, nowMs + streamMs(call, demand))
    }

    /** Where the stream began that [call] takes up. */
    fun find(call: CallerCall, demand: Demand, nowMs: Long): StreamOrigin =
        if (call.lastEventId == null || !demand.route.isResumable) {
            StreamOrigin.NotBegun
        } else {
            StreamOrigin.of(versionOf(call.resumedAttemptId, demand.service, streamMs(call, demand), nowMs))
        }

    private fun versionOf(attemptId: String?, service: String, streamMs: Long, nowMs: Long): String? =
        attemptId?.let { versions.recorded(it, nowMs) }
            ?: versions.singleVersion(service, registry.all().filter { it.service == service }, streamMs, nowMs)

    /** Drops what is no longer needed. */
    fun prune(nowMs: Long) {
        versions = versions.prune(nowMs)
    }

    /** How long a caller may still take up a stream, or may have waited since it began. */
    private fun streamMs(call: CallerCall, demand: Demand): Long =
        maxOf(demand.route.timeoutMs, call.remainingMs ?: 0)
}

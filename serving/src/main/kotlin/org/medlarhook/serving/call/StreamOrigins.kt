package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.core.serving.fleet.UpstreamRegistry
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.resume.StreamOrigin
import org.medlarhook.core.serving.resume.StreamVersions
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.peer.BegunStream
import org.medlarhook.serving.peer.NoStreamPeers
import org.medlarhook.serving.peer.PeerListener
import org.medlarhook.serving.peer.StreamPeers

/**
 * Knows at which software version streams began, for callers that take up a broken one. Used on the event loop only.
 *
 * Callers take up a stream at another process than the one that began it. While a service has several versions, or may
 * have had, each process tells others where its streams began, and asks them for a stream that it does not know.
 */
internal class StreamOrigins(
    private val time: TimeSource,
) : PeerListener {
    private var versions = StreamVersions()
    private var registry = UpstreamRegistry()

    /** The other processes. */
    var peers: StreamPeers = NoStreamPeers

    /** Follows the registry from its state before [update] to [after]. */
    fun registryUpdated(update: RegistryUpdate, after: UpstreamRegistry) {
        val nowMs = time.monotonicMs()
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
    fun began(call: CallerCall, demand: Demand, softwareVersion: String?) {
        val attemptId = call.attemptId
        if (!demand.route.isResumable || softwareVersion == null || attemptId == null) return
        val streamMs = streamMs(call, demand)
        val stream = BegunStream(attemptId, softwareVersion, streamMs)
        began(stream)
        if (singleVersion(demand.service, streamMs) == null) peers.tell(stream)
    }

    override fun began(stream: BegunStream) {
        versions = versions.began(stream.attemptId, stream.softwareVersion, time.monotonicMs() + stream.remainingMs)
    }

    /** Finds where the stream began that [call] takes up, and passes it to [onFound], at once if it is known here. */
    fun find(call: CallerCall, demand: Demand, onFound: (StreamOrigin) -> Unit) {
        if (call.lastEventId == null || !demand.route.isResumable) return onFound(StreamOrigin.NotBegun)
        val attemptId = call.resumedAttemptId.orEmpty()
        val streamMs = streamMs(call, demand)
        val known = versionOf(attemptId, demand.service, streamMs)
        if (known != null) return onFound(StreamOrigin.BegunAt(known))
        peers.ask(attemptId, demand.service, streamMs) { onFound(StreamOrigin.of(it)) }
    }

    override fun versionOf(attemptId: String, service: String, streamMs: Long): String? =
        versions.recorded(attemptId, time.monotonicMs()) ?: singleVersion(service, streamMs)

    private fun singleVersion(service: String, streamMs: Long): String? =
        versions.singleVersion(service, registry.all().filter { it.service == service }, streamMs, time.monotonicMs())

    /** Drops what is no longer needed. */
    fun prune() {
        versions = versions.prune(time.monotonicMs())
    }

    /** How long a caller may still take up a stream, or may have waited since it began. */
    private fun streamMs(call: CallerCall, demand: Demand): Long =
        maxOf(demand.route.timeoutMs, call.remainingMs ?: 0)
}

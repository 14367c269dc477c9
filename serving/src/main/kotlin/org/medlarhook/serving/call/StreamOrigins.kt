package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.core.serving.fleet.UpstreamRegistry
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.resume.BegunStream
import org.medlarhook.core.serving.resume.StreamOrigin
import org.medlarhook.core.serving.resume.StreamVersions
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.peer.NoStreamPeers
import org.medlarhook.serving.peer.OriginReport
import org.medlarhook.serving.peer.PeerListener
import org.medlarhook.serving.peer.StreamPeers
import org.medlarhook.serving.peer.StreamQuestion

/**
 * Knows where streams began, for callers that take up a broken one. Used on the event loop only.
 *
 * Callers take up a stream at another process than the one that began it. Each process that does not know a service to
 * have a single version tells others of its streams there, and so does one that stops; a process asks the others for a
 * stream that it does not know.
 *
 * @param clockGeneration compares the clocks and returns a number that changes when the process was suspended.
 */
internal class StreamOrigins(
    private val time: TimeSource,
    private val clockGeneration: () -> Int,
) : PeerListener {
    private var versions = StreamVersions()
    private var registry = UpstreamRegistry()
    private var watchedGeneration: Int? = null
    private var toldServices = emptySet<String>()
    private var isStopping = false
    private var nextPruneAtMs = 0L

    /** The other processes. */
    var peers: StreamPeers = NoStreamPeers

    /** Follows the registry from its state before [update], which a read begun at [readAtMs] brought, to [after]. */
    fun registryUpdated(update: RegistryUpdate, after: UpstreamRegistry, readAtMs: Long) {
        val changed = versions.registryChanged(registry.all(), after.all(), readAtMs)
        versions =
            when (update) {
                is RegistryUpdate.Changes -> changed
                is RegistryUpdate.Listing -> changed.registryRead(readAtMs)
                is RegistryUpdate.Unreachable -> versions.registryLost()
            }
        registry = after
        tellWhereUncertain()
    }

    /** Tells other processes of all streams that are known here, because this process is about to end. */
    fun stopping() {
        isStopping = true
        tellWhereUncertain()
    }

    private fun tellWhereUncertain() {
        val services = registry.all().map { it.service }.toSet() + toldServices
        val uncertain = services.filter { isStopping || singleVersion(it) == null }.toSet()
        val nowMs = time.monotonicMs()
        (uncertain - toldServices).flatMap { versions.recordedOf(it, nowMs) }.forEach { peers.tell(it) }
        toldServices = uncertain
    }

    /** Records the stream of [call], whose first event was made at [origin]. */
    fun began(call: CallerCall, demand: Demand, origin: StreamOrigin) {
        val attemptId = call.attemptId
        if (!demand.route.isResumable || origin !is StreamOrigin.BegunAt || attemptId == null) return
        val streamMs = streamMs(call, demand)
        val stream = BegunStream(demand.workspace, attemptId, origin.service, origin.softwareVersion, streamMs)
        if (!stream.isRecordable) return
        began(stream)
        if (origin.service in toldServices) peers.tell(stream)
    }

    override fun began(stream: BegunStream) {
        versions = versions.began(stream, time.monotonicMs())
    }

    /** Finds where the stream began that [call] takes up, and passes it to [onFound], at once if it is known here. */
    fun find(call: CallerCall, demand: Demand, onFound: (StreamOrigin) -> Unit) {
        if (!demand.route.isResumable) return onFound(StreamOrigin.NotBegun)
        if (call.lastEventId == null) {
            demand.route.targets.forEach { versions = versions.awaited(it.service, streamMs(call, demand)) }
            return onFound(StreamOrigin.NotBegun)
        }
        val stream =
            StreamQuestion(
                workspace = demand.workspace,
                attemptId = call.resumedAttemptId,
                service = demand.service,
                hasOneService = demand.route.targets.size == 1,
                streamMs = streamMs(call, demand),
            )
        val known = originOf(stream)
        if (known != null) return onFound(originOf(known, demand))
        peers.ask(stream) { onFound(originOf(it, demand)) }
    }

    private fun originOf(report: OriginReport?, demand: Demand): StreamOrigin =
        if (report == null || demand.route.targets.none { it.service == report.service }) {
            StreamOrigin.Unknown
        } else {
            StreamOrigin.BegunAt(report.service, report.softwareVersion)
        }

    override fun originOf(stream: StreamQuestion): OriginReport? {
        val recorded = stream.attemptId?.let { versions.recorded(stream.workspace, it, time.monotonicMs()) }
        return when (recorded) {
            is StreamOrigin.BegunAt -> OriginReport(recorded.service, recorded.softwareVersion, isRecorded = true)
            is StreamOrigin.Unknown -> null
            is StreamOrigin.NotBegun, null ->
                singleVersion(stream.service, stream.streamMs)
                    ?.takeIf { stream.hasOneService }
                    ?.let { OriginReport(stream.service, it, isRecorded = false) }
        }
    }

    private fun singleVersion(service: String, streamMs: Long = 0): String? {
        val generation = clockGeneration()
        if (watchedGeneration != null && generation != watchedGeneration) versions = versions.registryLost()
        watchedGeneration = generation
        val registered = registry.all().filter { it.service == service }
        return versions.singleVersion(service, registered, streamMs, time.monotonicMs())
    }

    /** Drops what is no longer needed. */
    fun prune() {
        val nowMs = time.monotonicMs()
        if (nowMs < nextPruneAtMs) return
        nextPruneAtMs = nowMs + PRUNE_INTERVAL_MS
        versions = versions.prune(nowMs)
        tellWhereUncertain()
    }

    /** How long a caller may still take up a stream, or may have waited since it began. */
    private fun streamMs(call: CallerCall, demand: Demand): Long =
        maxOf(demand.route.timeoutMs, call.remainingMs ?: 0).coerceIn(0, BegunStream.MAX_STREAM_MS)

    private companion object {
        const val PRUNE_INTERVAL_MS = 1_000L
    }
}

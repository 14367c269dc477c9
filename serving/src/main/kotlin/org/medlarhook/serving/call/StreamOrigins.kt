package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.core.serving.fleet.Upstream
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
 * stream that it does not know. Without a record, a version is inferred from the registry only as it is after the
 * stream was taken up, which [confirmations] shows.
 *
 * @param clockGeneration compares the clocks and returns a number that changes when the process was suspended.
 */
internal class StreamOrigins(
    private val time: TimeSource,
    private val clockGeneration: () -> Int,
    schedule: (Long, () -> Unit) -> Unit,
) : PeerListener {
    private var versions = StreamVersions()
    private var registry = UpstreamRegistry()
    private var watchedGeneration: Int? = null
    private var toldServices = emptySet<String>()
    private var isStopping = false
    private var nextPruneAtMs = 0L

    /** The other processes. */
    var peers: StreamPeers = NoStreamPeers

    /** Confirms what is known of the registry. */
    val confirmations =
        RegistryConfirmations(
            knownTo = { versions.knownTo },
            onUnchanged = { versions = versions.registryConfirmed(it.begunAtMs, it.position) },
            schedule = schedule,
        )

    /** Follows the registry from its state before [update], which [reading] brought, to [after]. */
    fun registryUpdated(update: RegistryUpdate, after: UpstreamRegistry, reading: RegistryReading) {
        val nowMs = time.monotonicMs()
        versions =
            when (update) {
                is RegistryUpdate.Changes -> changed(update, after, reading, nowMs)
                is RegistryUpdate.Listing -> changed(registry.all(), after, reading, nowMs).registryRead(nowMs)
                is RegistryUpdate.Unreachable -> versions.registryLost()
            }
        registry = after
        tellWhereUncertain()
        confirmations.registryUpdated()
    }

    private fun changed(
        update: RegistryUpdate.Changes,
        after: UpstreamRegistry,
        reading: RegistryReading,
        nowMs: Long,
    ): StreamVersions {
        val changed = changed(registry.all() + update.written, after, reading, nowMs)
        val knownIds = registry.all().map { it.id }.toSet()
        return if (update.removesUnseen(knownIds)) changed.upstreamsMissed(nowMs) else changed
    }

    private fun changed(before: List<Upstream>, after: UpstreamRegistry, reading: RegistryReading, nowMs: Long) =
        versions.registryChanged(before, after.all(), reading.begunAtMs, nowMs, reading.position)

    /** Tells other processes of all streams that are known here, because this process is about to end. */
    fun stopping() {
        isStopping = true
        tellWhereUncertain()
    }

    private fun tellWhereUncertain() {
        val services = registry.all().map { it.service }.toSet() + toldServices
        val nowMs = time.monotonicMs()
        val confirmedSinceMs = nowMs - StreamVersions.REGISTRATION_DELAY_MS
        val uncertain = services.filter { isStopping || singleVersion(it, 0, confirmedSinceMs) == null }.toSet()
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
        val recorded = recorded(stream)
        if (recorded != null) return onFound(originOf(reportOf(recorded), demand))
        if (versionSeen(stream) == null) return peers.ask(stream) { onFound(originOf(it, demand)) }
        confirmations.confirm { confirmedAtMs -> infer(stream, confirmedAtMs) { onFound(originOf(it, demand)) } }
    }

    /**
     * Infers the version of [stream] from the registry, as a read that began at [confirmedAtMs] shows it, or takes the
     * record of another process. One that has watched for longer may answer for the time before this one did.
     */
    private fun infer(stream: StreamQuestion, confirmedAtMs: Long?, onFound: (OriginReport?) -> Unit) {
        val recorded = recorded(stream)
        if (recorded != null) return onFound(reportOf(recorded))
        if (confirmedAtMs == null) return peers.ask(stream, onFound)
        val version = singleVersion(stream.service, stream.streamMs, confirmedAtMs)
        if (version != null) return onFound(OriginReport(stream.service, version, isRecorded = false))
        peers.ask(stream.copy(watchedFrom = versions.watchedFrom)) { report ->
            val isKnown = report?.isRecorded == true || report != null && report.softwareVersion == versionSeen(stream)
            onFound(report.takeIf { isKnown })
        }
    }

    private fun originOf(report: OriginReport?, demand: Demand): StreamOrigin =
        if (report == null || demand.route.targets.none { it.service == report.service }) {
            StreamOrigin.Unknown
        } else {
            StreamOrigin.BegunAt(report.service, report.softwareVersion)
        }

    override fun originOf(stream: StreamQuestion): OriginReport? {
        val recorded = recorded(stream)
        if (recorded != null) return reportOf(recorded)
        val position = stream.watchedFrom?.takeIf { stream.hasOneService } ?: return null
        noticeSuspension()
        return versions
            .singleVersionUpTo(
                position,
                stream.service,
                registered(stream.service),
                stream.streamMs,
                time.monotonicMs(),
            )
            ?.let { OriginReport(stream.service, it, isRecorded = false) }
    }

    private fun recorded(stream: StreamQuestion): StreamOrigin? =
        stream.attemptId?.let { versions.recorded(stream.workspace, it, time.monotonicMs()) }

    private fun reportOf(recorded: StreamOrigin): OriginReport? =
        (recorded as? StreamOrigin.BegunAt)?.let { OriginReport(it.service, it.softwareVersion, isRecorded = true) }

    /** The version that [stream] is inferred to have, if this process has watched for long enough, or another one. */
    private fun versionSeen(stream: StreamQuestion): String? {
        if (!stream.hasOneService) return null
        noticeSuspension()
        return versions.versionSeen(
            stream.service,
            registered(stream.service),
            stream.streamMs,
            time.monotonicMs(),
        )
    }

    private fun singleVersion(service: String, streamMs: Long, confirmedSinceMs: Long): String? {
        noticeSuspension()
        val nowMs = time.monotonicMs()
        return versions.singleVersion(service, registered(service), streamMs, confirmedSinceMs, nowMs)
    }

    private fun registered(service: String): List<Upstream> = registry.all().filter { it.service == service }

    private fun noticeSuspension() {
        val generation = clockGeneration()
        if (watchedGeneration != null && generation != watchedGeneration) versions = versions.registryLost()
        watchedGeneration = generation
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

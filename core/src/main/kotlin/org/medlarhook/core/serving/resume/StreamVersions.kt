package org.medlarhook.core.serving.resume

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.fleet.RegistryPosition
import org.medlarhook.core.serving.fleet.Upstream

/**
 * At which software version recent streams began, for callers that take up a broken stream with a new request.
 *
 * A stream that this process or another one has recorded is known. Of any other stream the version is known only if its
 * service had a single one for as long as the stream can have run. A stream can have run as long as any caller of its
 * service waits: what the request that takes it up has left does not tell when its caller began.
 *
 * That a service had a single version follows from registrations without a gap from before the stream began until after
 * it has broken. A version is registered before any process can use it, so a read of the registry that begins after the
 * stream was taken up shows each version at which it can have begun. An earlier read shows nothing: a process that is
 * cut off, suspended or slow does not know that it has missed one.
 *
 * @property streams recorded streams; two of one identifier with different origins are kept as unknown.
 * @property watchedSinceMs since when this process knows all registrations, or null while it does not.
 * @property watchedFrom a position of the registry from which on all changes are known, or null.
 * @property knownTo up to where changes of the registry are known, or null if that is not known.
 * @property confirmedAtMs when the last successful read of the registry began.
 * @property left when the last upstream of a service with a version left the registry.
 * @property missedAtMs when upstreams were known to have left that this process has never seen, or null.
 * @property longestStreamMs the longest time, by service, that a caller has waited or a stream could last.
 */
public data class StreamVersions(
    private val streams: PersistentMap<StreamId, RecordedStream> = persistentMapOf(),
    private val watchedSinceMs: Long? = null,
    public val watchedFrom: RegistryPosition? = null,
    public val knownTo: RegistryPosition? = null,
    private val confirmedAtMs: Long = Long.MIN_VALUE,
    private val left: PersistentMap<ServiceVersion, Long> = persistentMapOf(),
    private val missedAtMs: Long? = null,
    private val longestStreamMs: PersistentMap<String, Long> = persistentMapOf(),
) {
    /** Records that a new stream of [service] can last, or be taken up, for [durationMs]. */
    public fun awaited(service: String, durationMs: Long): StreamVersions {
        if (durationMs <= (longestStreamMs[service] ?: -1)) return this
        return copy(longestStreamMs = longestStreamMs.put(service, durationMs))
    }

    /** Records [stream], which is known at [nowMs]. */
    public fun began(stream: BegunStream, nowMs: Long): StreamVersions {
        if (!stream.isRecordable) return this
        val id = StreamId(stream.workspace, stream.attemptId)
        val untilMs = nowMs + stream.remainingMs.coerceIn(0, BegunStream.MAX_STREAM_MS)
        val origin = StreamOrigin.BegunAt(stream.service, stream.softwareVersion)
        val earlier = streams[id]?.takeIf { it.untilMs > nowMs }
        val agreed = if (earlier == null || earlier.origin == origin) origin else StreamOrigin.Unknown
        return copy(streams = streams.put(id, RecordedStream(agreed, maxOf(untilMs, earlier?.untilMs ?: 0))))
    }

    /**
     * Records a read of the registry, begun at [readAtMs] and received at [receivedAtMs], that changed the upstreams
     * from [before] to [after] and shows them as of [position].
     */
    public fun registryChanged(
        before: List<Upstream>,
        after: List<Upstream>,
        readAtMs: Long,
        receivedAtMs: Long = readAtMs,
        position: RegistryPosition? = null,
    ): StreamVersions {
        val gone = before.map { it.serviceVersion }.toSet() - after.map { it.serviceVersion }.toSet()
        return copy(
            watchedSinceMs = watchedSinceMs ?: readAtMs,
            watchedFrom = watchedFrom ?: position,
            knownTo = position,
            confirmedAtMs = maxOf(confirmedAtMs, readAtMs),
            left = gone.fold(left) { all, version -> all.put(version, receivedAtMs) },
        )
    }

    /** Records that all registrations were read at [readAtMs]: what changed since an earlier read may be missing. */
    public fun registryRead(readAtMs: Long): StreamVersions = copy(watchedSinceMs = readAtMs, watchedFrom = knownTo)

    /** Records that a read which began at [readAtMs] showed no change between what is known and [position]. */
    public fun registryConfirmed(readAtMs: Long, position: RegistryPosition): StreamVersions =
        copy(
            knownTo = position.takeIf { knownTo == null || it.covers(knownTo) } ?: knownTo,
            confirmedAtMs = maxOf(confirmedAtMs, readAtMs),
        )

    /** Records that at [nowMs] upstreams were found to have come and left between two reads, at versions not known. */
    public fun upstreamsMissed(nowMs: Long): StreamVersions = copy(missedAtMs = nowMs)

    /** Records that registrations may change unseen from now on. */
    public fun registryLost(): StreamVersions = copy(watchedSinceMs = null, watchedFrom = null, knownTo = null)

    /** True if all changes of the registry up to [position] are known. */
    public fun knows(position: RegistryPosition): Boolean = knownTo?.covers(position) == true

    /** Removes what is no longer needed at [nowMs]. */
    public fun prune(nowMs: Long): StreamVersions {
        val expired = streams.filterValues { it.untilMs <= nowMs }.keys
        val forgotten = left.filterValues { nowMs - it > BegunStream.MAX_STREAM_MS + REGISTRATION_DELAY_MS }.keys
        if (expired.isEmpty() && forgotten.isEmpty()) return this
        return copy(
            streams = expired.fold(streams) { all, id -> all.remove(id) },
            left = forgotten.fold(left) { all, version -> all.remove(version) },
        )
    }

    /** The recorded origin of the stream that [attemptId] of [workspace] began, or null if there is no record. */
    public fun recorded(workspace: String?, attemptId: String, nowMs: Long): StreamOrigin? =
        streams[StreamId(workspace, attemptId)]?.takeIf { it.untilMs > nowMs }?.origin

    /** The recorded streams of [service] that can still be taken up at [nowMs]. */
    public fun recordedOf(service: String, nowMs: Long): List<BegunStream> =
        streams.mapNotNull { (id, stream) ->
            val origin = stream.origin as? StreamOrigin.BegunAt
            if (origin?.service != service || stream.untilMs <= nowMs) return@mapNotNull null
            BegunStream(id.workspace, id.attemptId, service, origin.softwareVersion, stream.untilMs - nowMs)
        }

    /**
     * The version that all upstreams of [service], of which [registered] are left, had for as long as a stream can have
     * run, at least for the last [durationMs], up to a read of the registry that began at [confirmedSinceMs] or later.
     * Null if there were several, or if that is not known at [nowMs].
     */
    public fun singleVersion(
        service: String,
        registered: List<Upstream>,
        durationMs: Long,
        confirmedSinceMs: Long,
        nowMs: Long,
    ): String? =
        if (confirmedAtMs < confirmedSinceMs) null else throughout(service, registered, durationMs, nowMs)

    /**
     * The single version as in [singleVersion], up to [position] of the registry: for another process that knows all
     * changes from there on. Positions tell that no change lies between, whatever the clocks of the two show.
     */
    public fun singleVersionUpTo(
        position: RegistryPosition,
        service: String,
        registered: List<Upstream>,
        durationMs: Long,
        nowMs: Long,
    ): String? = if (knows(position)) throughout(service, registered, durationMs, nowMs) else null

    /**
     * The only version of [service] that this process has seen lately, of whose upstreams [registered] are left, or
     * null. It may not have watched for as long as a stream can have run.
     */
    public fun versionSeen(service: String, registered: List<Upstream>, durationMs: Long, nowMs: Long): String? {
        if (watchedSinceMs == null) return null
        val fromMs = lookBackFromMs(service, durationMs, nowMs) ?: Long.MIN_VALUE
        if (missedAtMs != null && missedAtMs >= fromMs) return null
        val recentlyLeft = left.filter { (version, atMs) -> version.service == service && atMs >= fromMs }.keys
        val versions = registered.map { it.serviceVersion }.toSet() + recentlyLeft
        return versions.singleOrNull()?.softwareVersion
    }

    private fun throughout(service: String, registered: List<Upstream>, durationMs: Long, nowMs: Long): String? {
        val fromMs = lookBackFromMs(service, durationMs, nowMs) ?: return null
        if (watchedSinceMs == null || watchedSinceMs > fromMs) return null
        return versionSeen(service, registered, durationMs, nowMs)
    }

    /** The earliest time at which a version may have been used for a stream, or null if no caller's time is known. */
    private fun lookBackFromMs(service: String, durationMs: Long, nowMs: Long): Long? {
        val longestMs = longestStreamMs[service] ?: return null
        return nowMs - maxOf(durationMs, longestMs).coerceIn(0, BegunStream.MAX_STREAM_MS) - REGISTRATION_DELAY_MS
    }

    /** The identifier of a stream: workspaces choose the identifiers of their attempts independently. */
    public data class StreamId(
        val workspace: String?,
        val attemptId: String,
    )

    /** A stream with its [origin], which can't be taken up any more at [untilMs]. */
    public data class RecordedStream(
        val origin: StreamOrigin,
        val untilMs: Long,
    )

    /** A software version of a service; null if the registration doesn't tell it. */
    public data class ServiceVersion(
        val service: String,
        val softwareVersion: String?,
    )

    private val Upstream.serviceVersion: ServiceVersion get() = ServiceVersion(service, softwareVersion)

    public companion object {
        /** Processes learn of a registration, or of its end, with up to this much difference. */
        public const val REGISTRATION_DELAY_MS: Long = 5_000L
    }
}

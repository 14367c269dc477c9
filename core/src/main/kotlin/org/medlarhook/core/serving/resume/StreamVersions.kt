package org.medlarhook.core.serving.resume

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.fleet.Upstream

/**
 * At which software version recent streams began, for callers that take up a broken stream with a new request.
 *
 * A stream that this process or another one has recorded is known. Of any other stream the version is known only if its
 * service had a single one for as long as the stream can have run, and if this process has watched the registry all the
 * time.
 *
 * @property streams recorded streams by the attempt of the caller that brought their first event.
 * @property watchedSinceMs since when this process knows all registrations, or null while it does not.
 * @property left when the last upstream of a service with a version left the registry.
 */
public data class StreamVersions(
    private val streams: PersistentMap<String, RecordedStream> = persistentMapOf(),
    private val watchedSinceMs: Long? = null,
    private val left: PersistentMap<ServiceVersion, Long> = persistentMapOf(),
) {
    /** Records that the stream of [attemptId] began at [softwareVersion] and may be taken up until [untilMs]. */
    public fun began(attemptId: String, softwareVersion: String, untilMs: Long): StreamVersions =
        copy(streams = streams.put(attemptId, RecordedStream(softwareVersion, untilMs)))

    /** Records that the registered upstreams changed from [before] to [after] at [nowMs]. */
    public fun registryChanged(before: List<Upstream>, after: List<Upstream>, nowMs: Long): StreamVersions {
        val gone = before.map { it.serviceVersion }.toSet() - after.map { it.serviceVersion }.toSet()
        return copy(
            watchedSinceMs = watchedSinceMs ?: nowMs,
            left = gone.fold(left) { all, version -> all.put(version, nowMs) },
        )
    }

    /** Records that all registrations were read at [nowMs]: what changed since an earlier read may be missing. */
    public fun registryRead(nowMs: Long): StreamVersions = copy(watchedSinceMs = nowMs)

    /** Records that registrations may change unseen from now on. */
    public fun registryLost(): StreamVersions = copy(watchedSinceMs = null)

    /** Removes what is no longer needed at [nowMs]. */
    public fun prune(nowMs: Long): StreamVersions {
        val expired = streams.filterValues { it.untilMs <= nowMs }.keys
        val forgotten = left.filterValues { nowMs - it > MAX_STREAM_MS }.keys
        if (expired.isEmpty() && forgotten.isEmpty()) return this
        return copy(
            streams = expired.fold(streams) { all, id -> all.remove(id) },
            left = forgotten.fold(left) { all, version -> all.remove(version) },
        )
    }

    /** The recorded version of the stream that [attemptId] began, or null if it is not recorded. */
    public fun recorded(attemptId: String, nowMs: Long): String? =
        streams[attemptId]?.takeIf { it.untilMs > nowMs }?.softwareVersion

    /**
     * The version that all upstreams of [service], of which [registered] are left, had for the last [durationMs], or
     * null if there were several, or if that is not known.
     */
    public fun singleVersion(
        service: String,
        registered: List<Upstream>,
        durationMs: Long,
        nowMs: Long,
    ): String? {
        val fromMs = nowMs - durationMs - REGISTRATION_DELAY_MS
        if (watchedSinceMs == null || watchedSinceMs > fromMs) return null
        val recentlyLeft = left.filter { (version, atMs) -> version.service == service && atMs >= fromMs }.keys
        val versions = registered.map { it.serviceVersion }.toSet() + recentlyLeft
        return versions.singleOrNull()?.softwareVersion
    }

    /** A stream that began at [softwareVersion], and can't be taken up any more at [untilMs]. */
    public data class RecordedStream(
        val softwareVersion: String,
        val untilMs: Long,
    )

    /** A software version of a service; null if the registration doesn't tell it. */
    public data class ServiceVersion(
        val service: String,
        val softwareVersion: String?,
    )

    private val Upstream.serviceVersion: ServiceVersion get() = ServiceVersion(service, softwareVersion)

    private companion object {
        /** Processes learn of a registration, or of its end, with up to this much difference. */
        const val REGISTRATION_DELAY_MS = 5_000L

        /** No caller waits longer for a stream. */
        const val MAX_STREAM_MS = 600_000L
    }
}

package org.medlarhook.entry.upstream

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import java.util.concurrent.ConcurrentHashMap

/**
 * The registered upstreams, with a channel to the sidecar of each. A channel whose status stream has become silent is
 * replaced by a new one, and calls on the old channel fail at once.
 */
internal class UpstreamPool(
    private val entryId: String,
    private val tables: TableService,
    private val channels: ChannelFactory,
    private val time: TimeSource,
    private val heartbeatTimeoutMs: Long,
    private val listener: WatchListener = LoggedWatchListener,
) : AutoCloseable {
    private val watches = ConcurrentHashMap<String, UpstreamWatch>()

    /** Returns the links to all registered upstreams. */
    fun links(): List<UpstreamLink> = watches.values.map { it.link }

    /** Returns the link to [upstreamId], or null if it is not registered. */
    fun link(upstreamId: String): UpstreamLink? = watches[upstreamId]?.link

    /** Returns the upstreams that accept work for [model]. */
    fun forModel(model: String): List<UpstreamLink> = links().filter { it.isAccepting && it.serves(model) }

    /** Returns the upstreams that accept calls of the plain service [service]. */
    fun forService(service: String): List<UpstreamLink> =
        links().filter { it.isAccepting && service in it.registration.services }

    /** Reads the registrations and opens, replaces or closes channels. */
    fun poll() {
        val registrations = readAll() ?: return
        registrations.forEach(::update)
        val registeredIds = registrations.mapTo(HashSet()) { it.upstreamId }
        (watches.keys - registeredIds).forEach { id -> watches.remove(id)?.link?.channel?.shutdown() }
        check(time.monotonicMs())
    }

    /** Replaces silent channels, and opens status streams that have ended again once their back-off has passed. */
    fun check(nowMs: Long) {
        watches.values.forEach { watch ->
            if (watch.link.isSilent(nowMs, heartbeatTimeoutMs)) replace(watch.link) else watch.ensureOpen(nowMs)
        }
    }

    /** Replaces the channel of [link] by a new one, unless it was replaced already. */
    fun replace(link: UpstreamLink) {
        watches.computeIfPresent(link.registration.upstreamId) { _, watch ->
            if (watch.link !== link) return@computeIfPresent watch
            link.channel.shutdownNow()
            open(link.registration)
        }
    }

    override fun close() {
        watches.values.forEach { it.link.channel.shutdownNow() }
    }

    private fun readAll(): List<UpstreamRegistration>? {
        val rows = ArrayList<UpstreamRegistration>()
        var afterKey = ""
        while (true) {
            val page = tables.scan(TableNames.UPSTREAM, afterKey = afterKey)
            if (page !is Either.Right) return null
            rows += page.value.map { JSON.decodeFromString(UpstreamRegistration.serializer(), it.value) }
            if (page.value.size < TableService.DEFAULT_SCAN_LIMIT) return rows
            afterKey = page.value.last().key.key
        }
    }

    private fun update(registration: UpstreamRegistration) {
        watches.compute(registration.upstreamId) { _, watch ->
            when {
                watch?.link?.registration == registration -> watch
                else -> {
                    watch?.link?.channel?.shutdown()
                    open(registration)
                }
            }
        }
    }

    private fun open(registration: UpstreamRegistration): UpstreamWatch {
        val link = UpstreamLink(registration, channels.open(registration.address))
        return UpstreamWatch(link, entryId, time, listener).also { it.ensureOpen(time.monotonicMs()) }
    }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}

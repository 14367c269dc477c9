package org.medlarhook.entry.upstream

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import java.util.concurrent.ConcurrentHashMap

/**
 * The registered upstreams with a channel to the sidecar of each. A connection that has gone silent is replaced by a
 * new one; calls on the old one fail at once.
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

    /** All links. */
    fun links(): List<UpstreamLink> = watches.values.map { it.link }

    /** The link to [upstreamId], or null if it is not registered. */
    fun link(upstreamId: String): UpstreamLink? = watches[upstreamId]?.link

    /** The upstreams that take work for [model]. */
    fun forModel(model: String): List<UpstreamLink> = links().filter { it.isAccepting && it.serves(model) }

    /** The upstreams that take calls of the plain service [service]. */
    fun forService(service: String): List<UpstreamLink> =
        links().filter { it.isAccepting && service in it.registration.services }

    /** Reads the registrations and opens, replaces or closes channels. */
    fun poll() {
        val registrations = readAll() ?: return
        registrations.forEach(::update)
        val present = registrations.mapTo(HashSet()) { it.upstreamId }
        (watches.keys - present).forEach { id -> watches.remove(id)?.link?.channel?.shutdown() }
        check(time.monotonicMs())
    }

    /** Replaces silent channels and opens status streams that have ended. */
    fun check(nowMs: Long) {
        watches.values.forEach { watch ->
            if (watch.link.isSilent(nowMs, heartbeatTimeoutMs)) replace(watch.link) else watch.ensureOpen(nowMs)
        }
    }

    /** Opens a new channel in place of the one of [link], unless that has happened already. */
    fun replace(link: UpstreamLink) {
        watches.computeIfPresent(link.registration.upstreamId) { _, present ->
            if (present.link !== link) return@computeIfPresent present
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
        watches.compute(registration.upstreamId) { _, present ->
            when {
                present?.link?.registration == registration -> present
                else -> {
                    present?.link?.channel?.shutdown()
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

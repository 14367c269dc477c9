package org.medlarhook.core.serving.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/**
 * The upstreams that may get work.
 *
 * Registrations lapse while the registry is away, although the upstreams live. What vanished during an outage, or up
 * to [REGISTER_AGAIN_MS] after it, is kept that long after the registry's return: upstreams register again by then.
 * A registration that vanishes at any other time names an upstream that has left.
 */
public data class UpstreamRegistry(
    val upstreams: PersistentMap<String, Upstream> = persistentMapOf(),
    private val missing: PersistentMap<String, Upstream> = persistentMapOf(),
    private val isReachable: Boolean = true,
    private val returnedAtMs: Long? = null,
) {
    /** Returns the registry after [update] at [nowMs]. */
    public fun apply(update: RegistryUpdate, nowMs: Long): UpstreamRegistry =
        when (update) {
            is RegistryUpdate.Unreachable -> copy(isReachable = false)
            is RegistryUpdate.Listing -> reached(nowMs).listed(update.upstreams, nowMs).expire(nowMs)
            is RegistryUpdate.Changes -> reached(nowMs).changed(update, nowMs).expire(nowMs)
        }

    /** Drops upstreams that have not registered again in time. */
    public fun expire(nowMs: Long): UpstreamRegistry =
        if (missing.isEmpty() || !isReachable || isRecovering(nowMs)) this else copy(missing = persistentMapOf())

    /** The upstreams of [service] that may get new work. */
    public fun serving(service: String): List<Upstream> =
        (upstreams.values + missing.values).filter { it.service == service && !it.isDraining }

    /** The upstream with [id], if it is known. */
    public fun find(id: String): Upstream? = upstreams[id] ?: missing[id]

    /** All upstreams that are known, those that drain among them. */
    public fun all(): List<Upstream> = upstreams.values + missing.values

    private fun reached(nowMs: Long): UpstreamRegistry =
        if (isReachable) this else copy(isReachable = true, returnedAtMs = nowMs)

    private fun isRecovering(nowMs: Long): Boolean = returnedAtMs != null && nowMs - returnedAtMs < REGISTER_AGAIN_MS

    private fun listed(listing: List<Upstream>, nowMs: Long): UpstreamRegistry {
        val present = listing.associateBy { it.id }.toPersistentMap()
        val lapsed = (upstreams.values + missing.values).filter { it.id !in present }
        return copy(upstreams = present, missing = keep(lapsed, nowMs))
    }

    private fun changed(changes: RegistryUpdate.Changes, nowMs: Long): UpstreamRegistry {
        val written = changes.written.associateBy { it.id }
        val lapsed = changes.removedIds.mapNotNull { upstreams[it] }
        val left = upstreams.mutate { map -> changes.removedIds.forEach { map.remove(it) } }
        val known = left.putAll(written)
        return copy(upstreams = known, missing = keep(missing.values.filter { it.id !in written } + lapsed, nowMs))
    }

    private fun keep(lapsed: List<Upstream>, nowMs: Long): PersistentMap<String, Upstream> =
        if (!isRecovering(nowMs)) {
            persistentMapOf()
        } else {
            lapsed.filter { !it.isDraining }.associateBy { it.id }.toPersistentMap()
        }

    private fun PersistentMap<String, Upstream>.mutate(
        change: (MutableMap<String, Upstream>) -> Unit,
    ): PersistentMap<String, Upstream> = builder().also(change).build()

    private companion object {
        /** Upstreams are back in the registry within two seconds of its return; the rest covers the way here. */
        const val REGISTER_AGAIN_MS = 2_300L
    }
}

package org.medlarhook.core.serving.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/**
 * The upstreams that may get work.
 *
 * Registrations expire during an outage of the registry although the upstreams still run. Upstreams whose registration
 * vanishes during an outage, or within [REREGISTRATION_MS] after it, are retained for that time after the outage: live
 * upstreams have registered again by then. A registration that vanishes at any other time means that its upstream has
 * left.
 */
public data class UpstreamRegistry(
    val upstreams: PersistentMap<String, Upstream> = persistentMapOf(),
    private val retained: PersistentMap<String, Upstream> = persistentMapOf(),
    private val isReachable: Boolean = true,
    private val outageEndMs: Long? = null,
) {
    /** Returns the registry after [update] at [nowMs]. */
    public fun apply(update: RegistryUpdate, nowMs: Long): UpstreamRegistry =
        when (update) {
            is RegistryUpdate.Unreachable -> copy(isReachable = false)
            is RegistryUpdate.Listing -> reached(nowMs).listed(update.upstreams, nowMs).expire(nowMs)
            is RegistryUpdate.Changes -> reached(nowMs).changed(update, nowMs).expire(nowMs)
        }

    /** Removes the retained upstreams that have not registered again in time. */
    public fun expire(nowMs: Long): UpstreamRegistry =
        if (retained.isEmpty() || !isReachable || isRecovering(nowMs)) this else copy(retained = persistentMapOf())

    /** The upstreams of [service] that may get new work. */
    public fun serving(service: String): List<Upstream> =
        (upstreams.values + retained.values).filter { it.service == service && !it.isDraining }

    /** The upstream with [id], or null if it is neither registered nor retained. */
    public fun find(id: String): Upstream? = upstreams[id] ?: retained[id]

    /** All upstreams, registered and retained, including those that drain. */
    public fun all(): List<Upstream> = upstreams.values + retained.values

    private fun reached(nowMs: Long): UpstreamRegistry =
        if (isReachable) this else copy(isReachable = true, outageEndMs = nowMs)

    private fun isRecovering(nowMs: Long): Boolean = outageEndMs != null && nowMs - outageEndMs < REREGISTRATION_MS

    private fun listed(listing: List<Upstream>, nowMs: Long): UpstreamRegistry {
        val present = listing.associateBy { it.id }.toPersistentMap()
        val lapsed = (upstreams.values + retained.values).filter { it.id !in present }
        return copy(upstreams = present, retained = retain(lapsed, nowMs))
    }

    /** Applies the changes one by one, so that it does not matter how the registry divides them into updates. */
    private fun changed(update: RegistryUpdate.Changes, nowMs: Long): UpstreamRegistry =
        update.changes.fold(this) { registry, change ->
            when (change) {
                is RegistryChange.Written -> registry.registered(change.upstream)
                is RegistryChange.Removed, is RegistryChange.Unreadable -> registry.lapsed(change.id, nowMs)
            }
        }

    private fun registered(upstream: Upstream): UpstreamRegistry =
        copy(upstreams = upstreams.put(upstream.id, upstream), retained = retained.remove(upstream.id))

    private fun lapsed(id: String, nowMs: Long): UpstreamRegistry =
        copy(upstreams = upstreams.remove(id), retained = retain(retained.values + listOfNotNull(upstreams[id]), nowMs))

    private fun retain(lapsed: List<Upstream>, nowMs: Long): PersistentMap<String, Upstream> =
        if (!isRecovering(nowMs)) {
            persistentMapOf()
        } else {
            lapsed.filter { !it.isDraining }.associateBy { it.id }.toPersistentMap()
        }

    private companion object {
        /** Upstreams register again within two seconds of an outage's end; the rest covers the delay of the update. */
        const val REREGISTRATION_MS = 2_300L
    }
}

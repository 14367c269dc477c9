package org.medlarhook.core.serving.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/**
 * The upstreams that have announced in an answer that they leave, which get no new work from this process.
 *
 * Designed for rolls, where each engine announces that it leaves some seconds before it exits, and for registrations
 * that lag behind the answers: a registration that still says ready, a listing that brings it back, or an outage of the
 * registry does not revoke an announcement. It holds for one incarnation only, so that a successor under the same id
 * or at the same address gets work at once.
 *
 * @property announced by incarnation, the time until which the announcement is kept, if it is not registered.
 */
public data class LeavingUpstreams(
    private val announced: PersistentMap<Incarnation, Long> = persistentMapOf(),
) {
    /** True if [incarnation] has announced that it leaves. */
    public operator fun contains(incarnation: Incarnation): Boolean = incarnation in announced

    /** Records at [nowMs] that [incarnation] has announced that it leaves. */
    public fun announced(incarnation: Incarnation, nowMs: Long): LeavingUpstreams =
        LeavingUpstreams(announced.put(incarnation, nowMs + KEPT_MS))

    /** Drops at [nowMs] the announcements of upstreams that have not been in [registered] for [KEPT_MS]. */
    public fun prune(registered: Set<Incarnation>, nowMs: Long): LeavingUpstreams {
        if (announced.isEmpty()) return this
        val renewed = announced.mapValues { (incarnation, keptUntilMs) ->
            if (incarnation in registered) nowMs + KEPT_MS else keptUntilMs
        }
        return LeavingUpstreams(renewed.filterValues { nowMs < it }.toPersistentMap())
    }

    private companion object {
        /** A registration that vanished may come back after an outage of the registry, which takes seconds. */
        const val KEPT_MS = 60_000L
    }
}

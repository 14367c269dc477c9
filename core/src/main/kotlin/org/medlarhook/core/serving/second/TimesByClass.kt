package org.medlarhook.core.serving.second

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The [RecentTimes] of each [RequestClass]. Begins anew when there are too many, as after many changes of routes. */
public data class TimesByClass(
    private val times: PersistentMap<RequestClass, RecentTimes> = persistentMapOf(),
) {
    /** The recent times of [kind]. */
    public fun of(kind: RequestClass): RecentTimes = times[kind] ?: RecentTimes()

    /** Adds an answer, or first event, of [kind] that took [ms]. */
    public fun with(kind: RequestClass, ms: Double): TimesByClass {
        val kept = if (kind in times || times.size < MAX_CLASSES) times else persistentMapOf()
        return TimesByClass(kept.put(kind, of(kind).with(ms)))
    }

    private companion object {
        const val MAX_CLASSES = 512
    }
}

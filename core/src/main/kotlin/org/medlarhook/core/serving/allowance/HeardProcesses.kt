package org.medlarhook.core.serving.allowance

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/**
 * The processes that divide the allowances, and when each was last heard.
 *
 * They are those that publish usage counts and those that have told of their use. The former are read from the store,
 * the latter come directly, so that either way alone leaves a process in the list.
 *
 * @property process the name of this process.
 * @property isListRead true once the processes that publish counts are known.
 */
public data class HeardProcesses(
    val process: String,
    val isListRead: Boolean = false,
    private val listed: Set<String> = emptySet(),
    private val heardAtMs: PersistentMap<String, Long> = persistentMapOf(),
) {
    /** Records that [other] was heard at [nowMs]; an earlier process of the same VM has ended. */
    public fun heard(other: String, nowMs: Long): HeardProcesses {
        if (other == process) return this
        if (other !in heardAtMs && heardAtMs.size >= MAX_PROCESSES) return this
        val ended = heardAtMs.keys.filter { it != other && vmOf(it) == vmOf(other) }
        val kept = ended.fold(heardAtMs) { map, old -> map.remove(old) }
        return copy(listed = listed - ended.toSet(), heardAtMs = kept.put(other, nowMs))
    }

    /** Records the [processes] that publish counts, as read at [nowMs]. One that is new may need some time to tell. */
    public fun listRead(processes: Set<String>, nowMs: Long): HeardProcesses {
        val silentAfterMs = share(nowMs).silentAfterMs
        val heardVms = heardAtMs.filterValues { nowMs - it <= silentAfterMs }.keys.associateBy { vmOf(it) }
        val others = processes.filter { it != process && (heardVms[vmOf(it)] ?: it) == it }.toSet()
        val kept = heardAtMs.filter { (name, atMs) -> name in others || nowMs - atMs <= silentAfterMs }
        val added = others.filter { it !in kept }.associateWith { nowMs }
        return copy(isListRead = true, listed = others, heardAtMs = (kept + added).toPersistentMap())
    }

    /** True if [other] is one of the processes. */
    public fun knows(other: String): Boolean = other in heardAtMs

    /** How many of the processes are heard at [nowMs]. */
    public fun share(nowMs: Long): HeardShare {
        val others = heardAtMs.size
        val known = if (isListRead) others + 1 else maxOf(ASSUMED_PROCESSES, others + 1)
        val atOnce = HeardShare(known, unheard = 0)
        val heard = heardAtMs.values.count { nowMs - it <= atOnce.silentAfterMs }
        return atOnce.copy(unheard = known - 1 - heard)
    }

    /** The age of the oldest last report at [nowMs], or null if there are no other processes. */
    public fun oldestAgeMs(nowMs: Long): Long? = heardAtMs.values.minOrNull()?.let { nowMs - it }

    private fun vmOf(name: String): String = name.substringBefore('#')

    private companion object {
        /** Processes that start at once don't know of one another yet, and must not each use the whole allowance. */
        const val ASSUMED_PROCESSES = 16
        const val MAX_PROCESSES = 2_000
    }
}

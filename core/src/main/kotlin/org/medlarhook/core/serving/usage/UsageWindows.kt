package org.medlarhook.core.serving.usage

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Requests of each workspace that have begun to run, by window of true time.
 *
 * True time is the steady clock plus an offset that all processes share, so that a jump of one machine's wall clock
 * moves no request into another window. Before the offset is known, requests are kept by their steady time.
 *
 * @property offsetMs true time less steady clock, or null before it is known.
 */
public data class UsageWindows(
    val windowMs: Long,
    val offsetMs: Long? = null,
    val counts: PersistentMap<Long, PersistentMap<String, Long>> = persistentMapOf(),
    private val undated: PersistentMap<Long, PersistentMap<String, Long>> = persistentMapOf(),
) {
    /** Counts a request of [workspace] that has begun at [nowMs] on the steady clock. */
    public fun counted(workspace: String, nowMs: Long): UsageWindows =
        if (offsetMs == null) {
            copy(undated = undated.plusOne(nowMs, workspace, 1))
        } else {
            copy(counts = counts.plusOne(windowAt(nowMs + offsetMs), workspace, 1))
        }

    /** Sets the offset; what was counted before it was known is put into its windows. */
    public fun withOffset(offsetMs: Long): UsageWindows {
        val dated =
            undated.entries.fold(counts) { all, (atMs, ofWorkspace) ->
                ofWorkspace.entries.fold(all) { map, (workspace, count) ->
                    map.plusOne(windowAt(atMs + offsetMs), workspace, count)
                }
            }
        return copy(offsetMs = offsetMs, counts = dated, undated = persistentMapOf())
    }

    /** Forgets windows before [window]. */
    public fun forgetBefore(window: Long): UsageWindows =
        copy(counts = counts.keys.filter { it < window }.fold(counts) { kept, old -> kept.remove(old) })

    /** The number of the window that holds [sharedClockMs]. */
    public fun windowAt(sharedClockMs: Long): Long = Math.floorDiv(sharedClockMs, windowMs)

    /** True time at [nowMs] on the steady clock, if known. */
    public fun sharedClockMs(nowMs: Long): Long? = offsetMs?.plus(nowMs)

    private fun PersistentMap<Long, PersistentMap<String, Long>>.plusOne(
        slot: Long,
        workspace: String,
        count: Long,
    ): PersistentMap<Long, PersistentMap<String, Long>> {
        val ofWorkspace = this[slot] ?: persistentMapOf()
        return put(slot, ofWorkspace.put(workspace, (ofWorkspace[workspace] ?: 0) + count))
    }
}

package org.medlarhook.core.serving.usage

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Counts of the requests that have begun to run, by window of the shared clock and by workspace.
 *
 * The shared clock is the monotonic clock plus an offset to a time on which all processes agree, so that a jump of one
 * VM's wall clock moves no request into another window. Until the offset is known, and while it is in doubt, requests
 * are kept by monotonic time.
 *
 * @property offsetMs shared clock minus monotonic clock, or null until it is known.
 * @property isInDoubt true while the monotonic clock may have stood still since the offset was set.
 */
public data class UsageWindows(
    val windowMs: Long,
    val offsetMs: Long? = null,
    val isInDoubt: Boolean = false,
    val counts: PersistentMap<Long, PersistentMap<String, Long>> = persistentMapOf(),
    private val byMonotonicMs: PersistentMap<Long, PersistentMap<String, Long>> = persistentMapOf(),
) {
    /** Counts a request of [workspace] that has begun at [nowMs] on the monotonic clock. */
    public fun counted(workspace: String, nowMs: Long): UsageWindows =
        if (offsetMs == null || isInDoubt) {
            copy(byMonotonicMs = byMonotonicMs.plusCount(nowMs - nowMs % KEPT_TO_MS, workspace, 1))
        } else {
            copy(counts = counts.plusCount(windowAt(nowMs + offsetMs), workspace, 1))
        }

    /** Sets the offset, and assigns the requests that were counted before to their windows. */
    public fun withOffset(offsetMs: Long): UsageWindows {
        val assigned =
            byMonotonicMs.entries.fold(counts) { all, (atMs, byWorkspace) ->
                byWorkspace.entries.fold(all) { map, (workspace, count) ->
                    map.plusCount(windowAt(atMs + offsetMs), workspace, count)
                }
            }
        return copy(offsetMs = offsetMs, isInDoubt = false, counts = assigned, byMonotonicMs = persistentMapOf())
    }

    /** Has the requests from now on kept by monotonic time, until the offset is set again. */
    public fun doubted(): UsageWindows = copy(isInDoubt = true)

    /** Removes the windows before [window]. */
    public fun forgetBefore(window: Long): UsageWindows =
        copy(counts = counts.keys.filter { it < window }.fold(counts) { kept, old -> kept.remove(old) })

    /** The number of the window that contains [sharedClockMs]. */
    public fun windowAt(sharedClockMs: Long): Long = Math.floorDiv(sharedClockMs, windowMs)

    /** The shared clock at [nowMs] on the monotonic clock, or null until the offset is known. */
    public fun sharedClockMs(nowMs: Long): Long? = offsetMs?.plus(nowMs)

    private fun PersistentMap<Long, PersistentMap<String, Long>>.plusCount(
        key: Long,
        workspace: String,
        count: Long,
    ): PersistentMap<Long, PersistentMap<String, Long>> {
        val byWorkspace = this[key] ?: persistentMapOf()
        return put(key, byWorkspace.put(workspace, (byWorkspace[workspace] ?: 0) + count))
    }

    private companion object {
        /** Monotonic times are kept to this precision, so that a long outage of the store takes little memory. */
        const val KEPT_TO_MS = 100L
    }
}

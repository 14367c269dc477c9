package org.medlarhook.entry.directory

import java.util.TreeMap

/** Records when this entry first had each of the newest versions. Thread-safe. */
internal class VersionArrivalTimes {
    private val arrivalTimesMs = TreeMap<Long, Long>()

    /** Records that the entry has [version] at [nowMs], unless that is already recorded. */
    @Synchronized
    fun record(version: Long, nowMs: Long) {
        arrivalTimesMs.putIfAbsent(version, nowMs)
        if (arrivalTimesMs.size > MAX_VERSIONS) arrivalTimesMs.pollFirstEntry()
    }

    /** Returns a time at which [version] was already written, or null if this entry does not have it yet. */
    @Synchronized
    fun writtenByMs(version: Long): Long? = arrivalTimesMs.ceilingEntry(version)?.value

    private companion object {
        const val MAX_VERSIONS = 256
    }
}

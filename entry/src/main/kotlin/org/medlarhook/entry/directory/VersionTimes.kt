package org.medlarhook.entry.directory

import java.util.TreeMap

/** Remembers when this entry first had each of the newest versions. Thread-safe. */
internal class VersionTimes {
    private val times = TreeMap<Long, Long>()

    /** Notes that the entry has [version] at [nowMs]. */
    @Synchronized
    fun note(version: Long, nowMs: Long) {
        times.putIfAbsent(version, nowMs)
        if (times.size > MAX_VERSIONS) times.pollFirstEntry()
    }

    /** Returns a moment by which [version] was written, or null if this entry does not have it. */
    @Synchronized
    fun writtenBy(version: Long): Long? = times.ceilingEntry(version)?.value

    private companion object {
        const val MAX_VERSIONS = 256
    }
}

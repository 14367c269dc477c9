package org.medlarhook.entry.operators

import org.medlarhook.runtime.operators.api.InForceAnswer

/** Checks whether a version of the directory is in force at every entry. */
internal fun interface InForceCheck {
    /** Returns whether [version] is in force at [nowMs], and the entries that may still use an earlier version. */
    fun check(version: Long, nowMs: Long): InForceAnswer
}

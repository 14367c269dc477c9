package org.medlarhook.entry.operators

import org.medlarhook.runtime.operators.api.InForceAnswer

/** Tells how far a version of the directory is in force over all entries. */
internal fun interface InForceView {
    /** Returns the entries that may still act on a version before [version] at [nowMs]. */
    fun inForce(version: Long, nowMs: Long): InForceAnswer
}

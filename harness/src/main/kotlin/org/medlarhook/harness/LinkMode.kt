package org.medlarhook.harness

/** What a [LinkProxy] does with connections and their data. */
public enum class LinkMode {
    /** Forwards data in both directions. */
    OPEN,

    /** Closes open connections, and new ones as soon as they are accepted. */
    CUT,

    /** Accepts connections and drops the data of both directions. */
    SILENT,

    /** Drops only the data sent to the target. */
    SILENT_TO_TARGET,

    /** Drops only the data sent to the caller. */
    SILENT_TO_CALLER,
}

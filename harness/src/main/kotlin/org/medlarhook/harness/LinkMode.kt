package org.medlarhook.harness

/** What a [LinkProxy] does with traffic. */
public enum class LinkMode {
    /** Passes it on. */
    OPEN,

    /** Resets open connections and closes new ones. */
    CUT,

    /** Accepts, and drops what comes in both directions. */
    SILENT,

    /** Drops what goes towards the target only. */
    SILENT_TO_TARGET,

    /** Drops what comes back from the target only. */
    SILENT_TO_CALLER,
}

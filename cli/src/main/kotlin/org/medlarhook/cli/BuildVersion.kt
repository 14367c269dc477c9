package org.medlarhook.cli

/** The version of the program. */
internal object BuildVersion {
    const val TEXT = "0.1.0"
}

package org.medlarhook.cli

/** The version that `medlarhook version` prints. */
internal object BuildVersion {
    const val TEXT = "0.1.0"
}

package org.medlarhook.harness

import java.nio.file.Path

/** Where the built programs are. */
public data class Binaries(
    val medlarhook: Path,
    val standIns: Path,
) {
    public companion object {
        /** The programs under the `target` directory of [root]. */
        public fun under(root: Path): Binaries =
            Binaries(root.resolve("target/medlarhook"), root.resolve("target/medlarhook-standins"))
    }
}

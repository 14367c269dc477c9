package org.medlarhook.harness

import java.nio.file.Path

/** Paths of the built programs: [medlarhook], and [standIns] for the test doubles of outside systems. */
public data class Binaries(
    val medlarhook: Path,
    val standIns: Path,
) {
    public companion object {
        /** Returns the paths below the `target` directory of the repository's [root]. */
        public fun under(root: Path): Binaries =
            Binaries(root.resolve("target/medlarhook"), root.resolve("target/medlarhook-standins"))
    }
}

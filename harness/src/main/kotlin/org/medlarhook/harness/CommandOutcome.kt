package org.medlarhook.harness

/** Exit status and output of a command. */
public data class CommandOutcome(
    val status: Int,
    val output: String,
)

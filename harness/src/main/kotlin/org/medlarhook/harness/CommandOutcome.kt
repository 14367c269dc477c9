package org.medlarhook.harness

/** Exit status of a command, and its standard output and standard error together. */
public data class CommandOutcome(
    val status: Int,
    val output: String,
)

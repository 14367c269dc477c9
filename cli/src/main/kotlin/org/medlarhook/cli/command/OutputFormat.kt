package org.medlarhook.cli.command

/** Output formats of the commands: lines for people, or the JSON of the response. */
internal enum class OutputFormat {
    TEXT,
    JSON,
}

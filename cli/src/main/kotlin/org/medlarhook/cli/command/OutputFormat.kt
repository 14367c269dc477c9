package org.medlarhook.cli.command

/** The forms in which commands print their answers. */
internal enum class OutputFormat {
    TEXT,
    JSON,
}

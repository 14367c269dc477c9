package org.medlarhook.cli

/** The exit statuses of the program, documented for operators in `docs/OPERATING.md`. */
internal enum class ExitCode(
    val status: Int,
) {
    SUCCESS(0),

    /** The call was refused or failed. */
    FAILED(1),

    /** A file or setting is invalid; nothing was changed. */
    INVALID(2),

    /** Another operator changed the configuration in the meantime; nothing was changed. */
    CONFLICT(3),

    /** The entry or the platform could not be reached, or its response was lost. */
    UNREACHABLE(4),
}

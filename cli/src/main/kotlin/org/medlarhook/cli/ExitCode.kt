package org.medlarhook.cli

/** What the program's exit status says. The table is in `docs/OPERATING.md`. */
internal enum class ExitCode(
    val status: Int,
) {
    SUCCESS(0),

    /** The call was refused or failed. */
    FAILED(1),

    /** A file or setting is wrong; nothing was changed. */
    INVALID(2),

    /** Another operator's change came first; nothing was changed. */
    CONFLICT(3),

    /** The entry or the platform was not reached, or its answer was lost. */
    UNREACHABLE(4),
}

package org.medlarhook.cli.command

import arrow.core.Either
import org.medlarhook.cli.ExitCode
import org.medlarhook.cli.client.CallFailure
import org.medlarhook.runtime.settings.SettingsError
import kotlin.system.exitProcess

/** Returns the value, or prints the failure to stderr and exits with the failure's exit status. */
internal fun <T> Either<CallFailure, T>.orExit(): T =
    when (this) {
        is Either.Right -> value
        is Either.Left -> {
            value.lines.forEach { System.err.println(it) }
            exitProcess(value.exitCode.status)
        }
    }

/** Returns the value, or prints all errors to stderr and exits with the status of [ExitCode.INVALID]. */
internal fun <T> Either<List<SettingsError>, T>.orExitInvalid(): T =
    when (this) {
        is Either.Right -> value
        is Either.Left -> {
            value.forEach { System.err.println(it) }
            exitProcess(ExitCode.INVALID.status)
        }
    }

package org.medlarhook.cli.command

import arrow.core.Either
import org.medlarhook.cli.ExitCode
import org.medlarhook.cli.client.CallFailure
import org.medlarhook.runtime.settings.SettingsError
import kotlin.system.exitProcess

/** Returns the value, or prints the failure and ends the program with its exit status. */
internal fun <T> Either<CallFailure, T>.orExit(): T =
    when (this) {
        is Either.Right -> value
        is Either.Left -> {
            value.lines.forEach { System.err.println(it) }
            exitProcess(value.exitCode.status)
        }
    }

/** Returns the value, or prints all errors and ends the program. */
internal fun <T> Either<List<SettingsError>, T>.orExitInvalid(): T =
    when (this) {
        is Either.Right -> value
        is Either.Left -> {
            value.forEach { System.err.println(it) }
            exitProcess(ExitCode.INVALID.status)
        }
    }

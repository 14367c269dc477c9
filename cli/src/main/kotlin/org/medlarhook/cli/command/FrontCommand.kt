package org.medlarhook.cli.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.medlarhook.cli.ExitCode
import org.medlarhook.platform.PlatformServing
import kotlin.system.exitProcess

/** Serves callers on the users' platform until the process is stopped. */
@OptIn(ExperimentalCli::class)
internal class FrontCommand : Subcommand("front", "Serves callers on the users' platform") {
    private val check by option(ArgType.Boolean, "check", description = "Check the settings only").default(false)

    private val train by option(
        ArgType.Boolean,
        "train",
        description = "Start and stop once, for the build",
    ).default(false)

    private val metricsPort by option(ArgType.Int, "metrics-port", description = "A further port for metrics and state")

    override fun execute() {
        val result =
            when {
                check -> PlatformServing.check()
                train -> PlatformServing.train()
                else -> PlatformServing.run(metricsPort)
            }
        result.onLeft {
            System.err.println(it)
            exitProcess(ExitCode.INVALID.status)
        }
        if (!check) exitProcess(ExitCode.SUCCESS.status)
    }
}

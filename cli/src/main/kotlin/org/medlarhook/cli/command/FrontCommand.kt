package org.medlarhook.cli.command

import arrow.core.left
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.medlarhook.cli.ExitCode
import org.medlarhook.core.serving.fair.FairAdmissionMode
import org.medlarhook.platform.FrontOptions
import org.medlarhook.platform.PlatformServing
import kotlin.system.exitProcess

/** Runs a front, which serves callers on the users' platform, in this process until it is stopped. */
@OptIn(ExperimentalCli::class)
internal class FrontCommand : Subcommand("front", "Runs a front, which serves callers on the users' platform") {
    private val check by option(ArgType.Boolean, "check", description = "Only validate the settings").default(false)

    private val train by option(
        ArgType.Boolean,
        "train",
        description = "Start and stop once, for the build's class-data-sharing archive",
    ).default(false)

    private val metricsPort by option(ArgType.Int, "metrics-port", description = "Additional port: metrics and state")

    private val secondAttemptShare by option(
        ArgType.Double,
        "second-attempt-share",
        description = "Work that second attempts of late requests may add, as a share from 0 (none) to 1",
    ).default(0.0)

    private val fairAdmission by option(
        ArgType.Choice<FairAdmissionMode>(),
        "fair-admission",
        description = "Where admission is fair by workspace; auto: at services whose upstreams share their machines",
    ).default(FairAdmissionMode.AUTO)

    override fun execute() {
        val result =
            when {
                secondAttemptShare !in 0.0..1.0 ->
                    "The second-attempt-share is $secondAttemptShare; it must be from 0 to 1".left()
                check -> PlatformServing.check()
                train -> PlatformServing.train()
                else -> PlatformServing.run(FrontOptions(metricsPort, secondAttemptShare, fairAdmission))
            }
        result.onLeft {
            System.err.println(it)
            exitProcess(ExitCode.INVALID.status)
        }
        if (!check) exitProcess(ExitCode.SUCCESS.status)
    }
}

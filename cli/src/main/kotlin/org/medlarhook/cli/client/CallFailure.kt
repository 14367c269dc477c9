package org.medlarhook.cli.client

import org.medlarhook.cli.ExitCode
import org.medlarhook.core.result.ResultCode
import org.medlarhook.runtime.operators.api.ProblemAnswer

/** Why a call to an entry's HTTP server for operators failed. */
internal sealed interface CallFailure {
    /** The program's exit status for this failure. */
    val exitCode: ExitCode

    /** The failure as lines of text for the operator. */
    val lines: List<String>

    /** The entry could not be reached, or its response was lost. */
    data class Unreachable(
        val detail: String,
    ) : CallFailure {
        override val exitCode = ExitCode.UNREACHABLE
        override val lines = listOf("no response from the entry: $detail")
    }

    /** The entry answered with an error status. */
    data class Refused(
        val problem: ProblemAnswer,
    ) : CallFailure {
        override val exitCode: ExitCode
            get() =
                when (problem.code) {
                    ResultCode.CONFIG_CONFLICT.number -> ExitCode.CONFLICT
                    ResultCode.CONFIG_INVALID.number -> ExitCode.INVALID
                    ResultCode.PLATFORM_UNAVAILABLE.number -> ExitCode.UNREACHABLE
                    ResultCode.PLATFORM_OUTCOME_UNKNOWN.number -> ExitCode.UNREACHABLE
                    else -> ExitCode.FAILED
                }

        override val lines: List<String>
            get() =
                listOf("${problem.code} ${problem.title}: ${problem.detail}") +
                    problem.errors +
                    problem.changes.map { "version ${it.version} by ${it.author}: ${describe(it)}" }
    }
}

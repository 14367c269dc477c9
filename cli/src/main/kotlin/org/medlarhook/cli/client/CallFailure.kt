package org.medlarhook.cli.client

import org.medlarhook.cli.ExitCode
import org.medlarhook.core.result.ResultCode
import org.medlarhook.runtime.operators.api.ProblemAnswer

/** Why an operators' call was not answered as asked. */
internal sealed interface CallFailure {
    /** The exit status that stands for the failure. */
    val exitCode: ExitCode

    /** Lines for people. */
    val lines: List<String>

    /** The entry was not reached, or its answer was lost. */
    data class Unreachable(
        val detail: String,
    ) : CallFailure {
        override val exitCode = ExitCode.UNREACHABLE
        override val lines = listOf("the entry was not reached: $detail")
    }

    /** The entry refused the call. */
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

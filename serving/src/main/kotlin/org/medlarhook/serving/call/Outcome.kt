package org.medlarhook.serving.call

import org.medlarhook.core.result.ResultCode

/** How a request ended, for logs and metrics. */
internal sealed interface Outcome {
    /** The upstream's answer was delivered. */
    data class Answered(
        val status: Int,
    ) : Outcome

    /** The system answered itself. */
    data class Rejected(
        val code: ResultCode,
    ) : Outcome

    /** A stream was broken off after it had begun. */
    data object Broken : Outcome

    /** The caller left. */
    data object Left : Outcome

    /** A short name for metrics. */
    val label: String
        get() =
            when (this) {
                is Answered -> if (status < FIRST_ERROR_STATUS) "answered" else "upstream_error"
                is Rejected -> code.name.lowercase()
                is Broken -> "broken"
                is Left -> "caller_left"
            }

    private companion object {
        const val FIRST_ERROR_STATUS = 400
    }
}

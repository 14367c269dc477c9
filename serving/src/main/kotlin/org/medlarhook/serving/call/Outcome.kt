package org.medlarhook.serving.call

import org.medlarhook.core.result.ResultCode

/** How a request ended, for logs and metrics. */
internal sealed interface Outcome {
    /** The upstream's answer was delivered to the caller. */
    data class Answered(
        val status: Int,
    ) : Outcome

    /** This process answered without an upstream's answer. */
    data class Refused(
        val code: ResultCode,
    ) : Outcome

    /** The connection was reset after a part of the stream had been delivered. */
    data object Broken : Outcome

    /**
     * The process ended its graceful shutdown before the answer was complete.
     *
     * @property code the result that the caller got, or null if its stream had begun and was reset.
     */
    data class CutOffAtShutdown(
        val code: ResultCode?,
    ) : Outcome

    /** The caller closed its connection before the answer was complete. */
    data object CallerDisconnected : Outcome

    /** The value of the outcome tag in metrics and of the outcome field in logs. */
    val label: String
        get() =
            when (this) {
                is Answered -> if (status < FIRST_ERROR_STATUS) "answered" else "upstream_error"
                is Refused -> code.name.lowercase()
                is Broken -> "broken"
                is CutOffAtShutdown -> "cut_off_at_shutdown"
                is CallerDisconnected -> "caller_left"
            }

    private companion object {
        const val FIRST_ERROR_STATUS = 400
    }
}

package org.medlarhook.entry.call

import org.medlarhook.core.result.Failure

/** Receives the output of a generation and sends it as a stream or as one answer at the end. No call blocks. */
internal interface GenerationSink {
    /** True while the output buffer is full. The call then requests no events from the upstream. */
    val isFull: Boolean

    /** Appends [texts] to the output. */
    fun deliver(texts: List<String>)

    /** Ends the output with the end mark. */
    fun finish(finishReason: String, usage: Usage)

    /** Ends the output with an error and without the end mark. */
    fun fail(failure: Failure)

    /** Sends a heartbeat, which shows the caller that the request is still being processed. */
    fun heartbeat()
}

/** Token counts of a finished generation. */
internal data class Usage(
    val promptTokens: Long,
    val outputTokens: Long,
)

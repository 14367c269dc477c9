package org.medlarhook.entry.call

import org.medlarhook.core.result.Failure

/** Where the output of a generation goes: a stream, or one answer at the end. No call blocks. */
internal interface GenerationSink {
    /** True while the caller is too slow; the upstream is held back until it has caught up. */
    val isFull: Boolean

    /** Passes on the next texts. */
    fun deliver(texts: List<String>)

    /** Ends with the end mark. */
    fun finish(finishReason: String, usage: Usage)

    /** Ends with an error and no end mark. */
    fun fail(failure: Failure)

    /** Shows the caller that the request is still alive. */
    fun heartbeat()
}

/** What a generation has used. */
internal data class Usage(
    val promptTokens: Long,
    val outputTokens: Long,
)

package org.medlarhook.entry.http

import org.medlarhook.core.result.Failure
import org.medlarhook.entry.call.GenerationSink
import org.medlarhook.entry.call.Usage

/** Collects the output of a generation without streaming, and answers when it has finished. */
internal class CompletionSink(
    private val exchange: Exchange,
    private val json: ChatJson,
) : GenerationSink {
    private val text = StringBuilder()

    override val isFull: Boolean = false

    override fun deliver(texts: List<String>) {
        texts.forEach { text.append(it) }
    }

    override fun finish(finishReason: String, usage: Usage) {
        val body = json.completion(text.toString(), finishReason, usage)
        exchange.respond(HTTP_OK, "application/json", emptyList(), body.encodeToByteArray())
    }

    override fun fail(failure: Failure) {
        exchange.problem(failure)
    }

    override fun heartbeat() = Unit

    private companion object {
        const val HTTP_OK = 200
    }
}

package org.medlarhook.entry.http

import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.result.Failure
import org.medlarhook.entry.call.Usage

/** Renders answers and chunks in the shape that callers of chat completions know. */
internal class ChatJson(
    requestId: String,
    model: String,
    createdS: Long,
) {
    private val head = """"id":"chatcmpl-$requestId","created":$createdS,"model":${JsonPrimitive(model)},"""
    private val chunkStart = """data: {$head"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"""

    /** The first chunk of a stream. */
    fun firstChunk(): String = """$chunkStart"role":"assistant","content":""},"finish_reason":null}]}""" + END_OF_EVENT

    /** A chunk with [texts]. */
    fun chunk(texts: List<String>): String {
        val content = JsonPrimitive(texts.joinToString(""))
        return """$chunkStart"content":$content},"finish_reason":null}]}""" + END_OF_EVENT
    }

    /** The last chunk, with the usage if [usage] is given, and the end mark. */
    fun lastChunks(finishReason: String, usage: Usage?): String {
        val end = """$chunkStart},"finish_reason":${JsonPrimitive(finishReason)}}]}""" + END_OF_EVENT
        val bill =
            usage?.let { """data: {$head"object":"chat.completion.chunk","choices":[],${json(it)}}""" + END_OF_EVENT }
        return end + bill.orEmpty() + "data: [DONE]" + END_OF_EVENT
    }

    /** The event that ends a stream which can't be finished. */
    fun errorEvent(failure: Failure): String =
        """event: error${'\n'}data: {"error":${failure.toJson()}}""" + END_OF_EVENT

    /** The whole answer. */
    fun completion(text: String, finishReason: String, usage: Usage): String =
        """{$head"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant",""" +
            """"content":${JsonPrimitive(text)}},"finish_reason":${JsonPrimitive(finishReason)}}],${json(usage)}}"""

    private fun json(usage: Usage): String =
        """"usage":{"prompt_tokens":${usage.promptTokens},"completion_tokens":${usage.outputTokens},""" +
            """"total_tokens":${usage.promptTokens + usage.outputTokens}}"""

    companion object {
        /** A line that clients skip. */
        const val COMMENT = ": waiting\n\n"

        private const val END_OF_EVENT = "\n\n"
    }
}

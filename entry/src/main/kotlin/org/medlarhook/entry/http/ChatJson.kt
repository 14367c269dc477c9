package org.medlarhook.entry.http

import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.result.Failure
import org.medlarhook.entry.call.Usage

/** Renders answers and stream chunks in the JSON format of the chat completions API. */
internal class ChatJson(
    requestId: String,
    model: String,
    createdS: Long,
) {
    private val commonFields = """"id":"chatcmpl-$requestId","created":$createdS,"model":${JsonPrimitive(model)},"""
    private val chunkStart = """data: {$commonFields"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"""

    /** Returns the first event of a stream, which gives the role. */
    fun firstChunk(): String = """$chunkStart"role":"assistant","content":""},"finish_reason":null}]}""" + END_OF_EVENT

    /** Returns a stream event with [texts] joined. */
    fun chunk(texts: List<String>): String {
        val content = JsonPrimitive(texts.joinToString(""))
        return """$chunkStart"content":$content},"finish_reason":null}]}""" + END_OF_EVENT
    }

    /** Returns the last event of a stream, a usage event if [usage] is given, and the `[DONE]` marker. */
    fun lastChunks(finishReason: String, usage: Usage?): String {
        val end = """$chunkStart},"finish_reason":${JsonPrimitive(finishReason)}}]}""" + END_OF_EVENT
        val usageChunk =
            usage?.let {
                """data: {$commonFields"object":"chat.completion.chunk","choices":[],${json(it)}}""" + END_OF_EVENT
            }
        return end + usageChunk.orEmpty() + "data: [DONE]" + END_OF_EVENT
    }

    /** Returns the event that ends a stream after [failure]. No `[DONE]` marker follows it. */
    fun errorEvent(failure: Failure): String =
        """event: error${'\n'}data: {"error":${failure.toJson()}}""" + END_OF_EVENT

    /** Returns the answer of a request without streaming. */
    fun completion(text: String, finishReason: String, usage: Usage): String =
        """{$commonFields"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant",""" +
            """"content":${JsonPrimitive(text)}},"finish_reason":${JsonPrimitive(finishReason)}}],${json(usage)}}"""

    private fun json(usage: Usage): String =
        """"usage":{"prompt_tokens":${usage.promptTokens},"completion_tokens":${usage.outputTokens},""" +
            """"total_tokens":${usage.promptTokens + usage.outputTokens}}"""

    companion object {
        /** A server-sent-events comment, which clients ignore, sent to keep the connection alive. */
        const val HEARTBEAT = ": waiting\n\n"

        private const val END_OF_EVENT = "\n\n"
    }
}

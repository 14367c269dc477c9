package org.medlarhook.entry.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** The body of `POST /v1/chat/completions`. Sampling fields are only checked; the engines decide how to sample. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("stream_options") val streamOptions: StreamOptions? = null,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
    val temperature: Double? = null,
    @SerialName("top_p") val topP: Double? = null,
    @SerialName("presence_penalty") val presencePenalty: Double? = null,
    @SerialName("frequency_penalty") val frequencyPenalty: Double? = null,
    val n: Int? = null,
    val stop: JsonElement? = null,
    val seed: Long? = null,
    val user: String? = null,
    val metadata: Map<String, String>? = null,
)

/** One message of a chat. Its content is a string or an array of text parts. */
@Serializable
internal data class ChatMessage(
    val role: String,
    val content: JsonElement,
    val name: String? = null,
)

/** The `stream_options` of a request. With `include_usage`, the stream ends with a usage event. */
@Serializable
internal data class StreamOptions(
    @SerialName("include_usage") val includeUsage: Boolean = false,
)

package org.medlarhook.entry.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The body of `POST /v1/chat/completions`. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int = 256,
    val user: String? = null,
)

/** One message of a chat. */
@Serializable
internal data class ChatMessage(
    val role: String,
    val content: String,
)

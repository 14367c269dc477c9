package org.medlarhook.entry.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** Parses and validates the body of a chat request. */
internal object ChatRequestParser {
    private val JSON = Json { ignoreUnknownKeys = false }
    private val FIELDS = ChatRequest.serializer().descriptor.let { d ->
        (0 until d.elementsCount).map(d::getElementName)
    }
    private val MESSAGE_FIELDS =
        ChatMessage.serializer().descriptor.let { d -> (0 until d.elementsCount).map(d::getElementName) }
    private val ROLES = setOf("system", "developer", "user", "assistant")
    private const val MAX_STOP_TEXTS = 4
    private const val MAX_TEMPERATURE = 2.0
    private const val MAX_ABS_PENALTY = 2.0

    /** Returns the request in [body], or what is invalid in it. */
    fun parse(body: ByteArray): Either<Failure, ChatRequest> =
        tree(body).flatMap { tree ->
            val unknown = unknownField(tree)
            if (unknown != null) failure(ResultCode.UNKNOWN_FIELD, unknown).left() else decode(tree).flatMap(::check)
        }

    /** Returns the prompt: the messages as `role: text`, separated by line breaks. */
    fun prompt(request: ChatRequest): String =
        request.messages.joinToString("\n") { "${it.role}: ${textOf(it.content).orEmpty()}" }

    private fun tree(body: ByteArray): Either<Failure, JsonObject> =
        try {
            val element = JSON.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true))
            (element as? JsonObject)?.right() ?: failure(ResultCode.MALFORMED_BODY, "not a JSON object").left()
        } catch (e: SerializationException) {
            failure(ResultCode.MALFORMED_BODY, firstLine(e)).left()
        } catch (_: CharacterCodingException) {
            failure(ResultCode.MALFORMED_BODY, "not UTF-8").left()
        }

    private fun unknownField(tree: JsonObject): String? {
        val messages = (tree["messages"] as? JsonArray).orEmpty().filterIsInstance<JsonObject>()
        return tree.keys.firstOrNull { it !in FIELDS }
            ?: messages.flatMap { it.keys }.firstOrNull { it !in MESSAGE_FIELDS }?.let { "messages.$it" }
    }

    private fun decode(tree: JsonObject): Either<Failure, ChatRequest> =
        try {
            JSON.decodeFromJsonElement(ChatRequest.serializer(), tree).right()
        } catch (e: IllegalArgumentException) {
            failure(ResultCode.MALFORMED_BODY, firstLine(e)).left()
        }

    private fun check(request: ChatRequest): Either<Failure, ChatRequest> {
        val problem =
            when {
                request.messages.isEmpty() -> "messages is empty"
                request.messages.any { it.role !in ROLES } -> "role is none of $ROLES"
                request.messages.any { textOf(it.content) == null } -> "content is neither text nor text parts"
                request.n != null && request.n != 1 -> "n is not 1"
                request.maxTokens != null && request.maxCompletionTokens != null ->
                    "max_tokens and max_completion_tokens exclude each other"
                else -> samplingProblem(request)
            }
        return problem?.let { failure(ResultCode.BAD_PARAMETER, it).left() } ?: request.right()
    }

    private fun samplingProblem(request: ChatRequest): String? {
        val penalties = listOfNotNull(request.presencePenalty, request.frequencyPenalty)
        return when {
            request.temperature != null && request.temperature !in 0.0..MAX_TEMPERATURE -> "temperature is not in 0..2"
            request.topP != null && request.topP !in 0.0..1.0 -> "top_p is not in 0..1"
            penalties.any { it !in -MAX_ABS_PENALTY..MAX_ABS_PENALTY } -> "a penalty is not in -2..2"
            request.stop != null && !isValidStop(request.stop) ->
                "stop is neither a text nor up to $MAX_STOP_TEXTS texts"
            else -> null
        }
    }

    private fun isValidStop(stop: JsonElement): Boolean =
        when (stop) {
            is JsonPrimitive -> stop.isString
            is JsonArray -> stop.size <= MAX_STOP_TEXTS && stop.all { it is JsonPrimitive && it.isString }
            else -> false
        }

    private fun textOf(content: JsonElement): String? =
        when (content) {
            is JsonPrimitive -> content.content.takeIf { content.isString }
            is JsonArray -> {
                val parts = content.map(::textOfPart)
                if (parts.any { it == null }) null else parts.joinToString("")
            }
            else -> null
        }

    private fun textOfPart(part: JsonElement): String? {
        val fields = part as? JsonObject ?: return null
        val isText = (fields["type"] as? JsonPrimitive)?.content == "text"
        return (fields["text"] as? JsonPrimitive)?.takeIf { isText && it.isString }?.content
    }

    private fun failure(code: ResultCode, detail: String) = Failure(code, RunState.NOT_RUN, detail)

    private fun firstLine(e: Exception): String = e.message.orEmpty().lineSequence().first()
}

package org.medlarhook.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.StatusRuntimeException
import io.javalin.http.Context
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.entry.directory.DirectoryView
import org.medlarhook.entry.routing.UpstreamChooser
import org.medlarhook.entry.upstream.UpstreamLink
import org.medlarhook.entry.upstream.UpstreamPool
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.SidecarServiceGrpc
import java.util.UUID
import java.util.concurrent.TimeUnit

/** Handles `POST /v1/chat/completions`, plain and streamed. */
internal class ChatHandler(
    private val directory: DirectoryView,
    private val pool: UpstreamPool,
    private val chooser: UpstreamChooser,
) {
    /** Answers one request of [workspace]. */
    fun handle(context: Context, workspace: Workspace) {
        parse(context.body()).fold(
            ifLeft = { context.problem(it) },
            ifRight = { request -> serve(context, workspace, request) },
        )
    }

    private fun parse(body: String): Either<Failure, ChatRequest> =
        try {
            JSON.decodeFromString(ChatRequest.serializer(), body).right()
        } catch (e: SerializationException) {
            Failure(ResultCode.MALFORMED_BODY, RunState.NOT_RUN, e.message.orEmpty().lineSequence().first()).left()
        }

    private fun serve(context: Context, workspace: Workspace, request: ChatRequest) {
        if (directory.model(request.model) == null) {
            context.problem(Failure(ResultCode.UNKNOWN_MODEL, RunState.NOT_RUN))
            return
        }
        val link = chooser.choose(pool.forModel(request.model))
        if (link == null) {
            context.problem(Failure(ResultCode.NO_UPSTREAM, RunState.NOT_RUN, retryAfterMs = RETRY_AFTER_MS))
            return
        }
        link.outstanding.incrementAndGet()
        try {
            val deadlineMs = context.header(DEADLINE_HEADER)?.toLongOrNull() ?: DEFAULT_DEADLINE_MS
            val events = generate(link, workspace, request, deadlineMs)
            if (request.stream) stream(context, request, events) else collect(context, request, events)
        } finally {
            link.outstanding.decrementAndGet()
        }
    }

    private fun generate(
        link: UpstreamLink,
        workspace: Workspace,
        request: ChatRequest,
        deadlineMs: Long,
    ): Iterator<GenerateEvent> {
        val prompt = request.messages.joinToString("\n") { "${it.role}: ${it.content}" }
        val message =
            GenerateRequest
                .newBuilder()
                .setAttemptId(UUID.randomUUID().toString())
                .setWorkspace(workspace.name)
                .setWeight(workspace.weight)
                .setIncarnation(link.registration.incarnation)
                .setModel(request.model)
                .setPrompt(prompt)
                .setPromptTokens(prompt.length / CHARS_PER_TOKEN + 1)
                .setMaxOutputTokens(request.maxTokens)
                .setRemainingMs(deadlineMs)
                .build()
        return SidecarServiceGrpc
            .newBlockingStub(link.channel)
            .withDeadlineAfter(deadlineMs, TimeUnit.MILLISECONDS)
            .generate(message)
    }

    private fun collect(context: Context, request: ChatRequest, events: Iterator<GenerateEvent>) {
        val text = StringBuilder()
        try {
            for (event in events) {
                if (event.hasRefusal()) {
                    context.problem(event.refusal.toFailure())
                    return
                }
                event.tokens.textsList.forEach { text.append(it) }
            }
        } catch (e: StatusRuntimeException) {
            context.problem(Failure(ResultCode.UPSTREAM_FAILED, RunState.UNKNOWN, e.status.code.name))
            return
        }
        context.contentType("application/json").result(completion(request, text.toString()))
    }

    private fun stream(context: Context, request: ChatRequest, events: Iterator<GenerateEvent>) {
        context.contentType("text/event-stream")
        val output = context.res().outputStream
        for (event in events) {
            if (event.hasRefusal()) {
                output.write("data: {\"error\":${event.refusal.toFailure().toJson()}}\n\n".encodeToByteArray())
                output.flush()
                return
            }
            event.tokens.textsList.forEach { output.write("data: ${chunk(request, it)}\n\n".encodeToByteArray()) }
            output.flush()
        }
        output.write("data: [DONE]\n\n".encodeToByteArray())
        output.flush()
    }

    private fun completion(request: ChatRequest, text: String): String =
        """{"object":"chat.completion","model":${JsonPrimitive(request.model)},"choices":[{"index":0,""" +
            """"finish_reason":"stop","message":{"role":"assistant","content":${JsonPrimitive(text)}}}]}"""

    private fun chunk(request: ChatRequest, text: String): String =
        buildJsonObject {
            put("object", "chat.completion.chunk")
            put("model", request.model)
            put("text", text)
        }.toString()

    private companion object {
        const val DEADLINE_HEADER = "X-Deadline-Ms"
        const val DEFAULT_DEADLINE_MS = 60_000L
        const val RETRY_AFTER_MS = 1_000L
        const val CHARS_PER_TOKEN = 4
        val JSON = Json { ignoreUnknownKeys = false }
    }
}

package org.medlarhook.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.entry.call.CallServices
import org.medlarhook.entry.call.GenerationCall
import org.medlarhook.entry.call.GenerationJob
import org.medlarhook.entry.call.RequestInfo

/** Handles `POST /v1/chat/completions`, plain and streamed. */
internal class ChatHandler(
    private val services: CallServices,
    private val callers: Callers,
    private val outcomes: Outcomes,
    private val maxDeadlineMs: Long,
) {
    /** Refuses a request that must not be read further. */
    fun refuse(caller: CallerRequest, failure: Failure) {
        outcomes.ended(GenerationCall.KIND, caller.exchange.requestId, caller.receivedAtMs, failure)
        caller.exchange.problem(failure)
    }

    /** The workspace that may call, checked before the body is read. */
    fun workspace(caller: CallerRequest): Either<Failure, Workspace> =
        callers.workspace(caller.presentedKey, caller.receivedAtMs)

    /** Answers one request of [workspace]. */
    fun handle(caller: CallerRequest, workspace: Workspace, body: ByteArray) {
        prepare(caller, workspace, body).fold(
            ifLeft = { refuse(caller, it) },
            ifRight = { start(caller, it) },
        )
    }

    private class Prepared(
        val request: ChatRequest,
        val job: GenerationJob,
        val info: RequestInfo,
    )

    private fun prepare(caller: CallerRequest, workspace: Workspace, body: ByteArray): Either<Failure, Prepared> =
        either {
            val request = ChatRequestParser.parse(body).bind()
            val model = model(workspace, request.model).bind()
            val maxOutputTokens = maxOutputTokens(request, model).bind()
            val remainingMs = Deadlines.read(caller.deadlineHeader, model.defaultDeadlineMs, maxDeadlineMs).bind()
            val prompt = ChatRequestParser.prompt(request)
            val promptTokens = prompt.length / CHARS_PER_TOKEN + 1
            Prepared(
                request,
                GenerationJob(model.name, prompt, promptTokens, maxOutputTokens, workspace),
                RequestInfo(
                    requestId = caller.exchange.requestId,
                    workspace = workspace,
                    presentedKey = caller.presentedKey,
                    startedAtMs = caller.receivedAtMs,
                    deadlineAtMs = caller.receivedAtMs + remainingMs,
                ),
            )
        }

    private fun start(caller: CallerRequest, prepared: Prepared) {
        val exchange = caller.exchange
        val request = prepared.request
        val json = ChatJson(exchange.requestId, request.model, services.time.wallMs() / MS_PER_S)
        val includesUsage = request.streamOptions?.includeUsage ?: false
        val sink = if (request.stream) StreamSink(exchange, json, includesUsage) else WholeSink(exchange, json)
        val call =
            GenerationCall(services, prepared.info, prepared.job, sink) { failure ->
                outcomes.ended(GenerationCall.KIND, exchange.requestId, caller.receivedAtMs, failure)
            }
        exchange.whenLost = call::callerDisconnected
        exchange.whenDrained = call::outputDrained
        call.start()
    }

    private fun model(workspace: Workspace, name: String): Either<Failure, ModelDeclaration> {
        val model = services.directory.model(name) ?: return refused(ResultCode.UNKNOWN_MODEL)
        return if (callers.mayUseModel(workspace, name)) model.right() else refused(ResultCode.MODEL_NOT_ALLOWED)
    }

    private fun maxOutputTokens(request: ChatRequest, model: ModelDeclaration): Either<Failure, Int> {
        val wanted =
            request.maxTokens ?: request.maxCompletionTokens ?: minOf(DEFAULT_MAX_TOKENS, model.maxOutputTokens)
        if (wanted in 1..model.maxOutputTokens) return wanted.right()
        val detail = "the number of output tokens is not in 1..${model.maxOutputTokens}"
        return Failure(ResultCode.BAD_PARAMETER, RunState.NOT_RUN, detail).left()
    }

    private fun refused(code: ResultCode) = Failure(code, RunState.NOT_RUN).left()

    private companion object {
        const val DEFAULT_MAX_TOKENS = 256
        const val CHARS_PER_TOKEN = 4
        const val MS_PER_S = 1_000L
    }
}

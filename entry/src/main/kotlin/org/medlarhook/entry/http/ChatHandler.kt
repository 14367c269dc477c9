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

/** Handles `POST /v1/chat/completions`, with and without streaming. */
internal class ChatHandler(
    private val services: CallServices,
    private val authorizer: CallerAuthorizer,
    private val outcomeRecorder: RequestOutcomeRecorder,
    private val drainState: DrainState,
    private val maxDeadlineMs: Long,
) {
    /** Refuses a request, and counts and logs the refusal. */
    fun refuse(caller: CallerRequest, failure: Failure) {
        outcomeRecorder.record(GenerationCall.KIND, caller.exchange.requestId, caller.receivedAtMs, failure)
        caller.exchange.problem(failure)
    }

    /** Authenticates the caller before the body is read, and returns its workspace or why it is refused. */
    fun workspace(caller: CallerRequest): Either<Failure, Workspace> =
        authorizer.workspace(caller.presentedKey, caller.receivedAtMs)

    /** Checks [body] and starts a generation for [workspace], or refuses the request. */
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
            val remainingMs = DeadlineHeader.parse(caller.deadlineHeader, model.defaultDeadlineMs, maxDeadlineMs).bind()
            val deadlineAtMs = caller.receivedAtMs + remainingMs
            drainState.refusal(caller.receivedAtMs, deadlineAtMs)?.let { raise(it) }
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
                    deadlineAtMs = deadlineAtMs,
                ),
            )
        }

    private fun start(caller: CallerRequest, prepared: Prepared) {
        val exchange = caller.exchange
        val request = prepared.request
        val json = ChatJson(exchange.requestId, request.model, services.time.wallMs() / MS_PER_S)
        val includesUsage = request.streamOptions?.includeUsage ?: false
        val sink = if (request.stream) StreamSink(exchange, json, includesUsage) else CompletionSink(exchange, json)
        val call =
            GenerationCall(services, prepared.info, prepared.job, sink) { failure ->
                outcomeRecorder.record(GenerationCall.KIND, exchange.requestId, caller.receivedAtMs, failure)
            }
        exchange.onDisconnected = call::callerDisconnected
        exchange.onDrained = call::outputDrained
        call.start()
    }

    private fun model(workspace: Workspace, name: String): Either<Failure, ModelDeclaration> {
        val model = services.directory.model(name) ?: return refused(ResultCode.UNKNOWN_MODEL)
        return if (authorizer.mayUseModel(workspace, name)) model.right() else refused(ResultCode.MODEL_NOT_ALLOWED)
    }

    private fun maxOutputTokens(request: ChatRequest, model: ModelDeclaration): Either<Failure, Int> {
        val requestedTokens =
            request.maxTokens ?: request.maxCompletionTokens ?: minOf(DEFAULT_MAX_TOKENS, model.maxOutputTokens)
        if (requestedTokens in 1..model.maxOutputTokens) return requestedTokens.right()
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

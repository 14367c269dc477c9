package org.medlarhook.sidecar.rpc

import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.protocol.Finished
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.Refusal
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.SealRequest
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.protocol.SidecarServiceGrpc
import org.medlarhook.protocol.Started
import org.medlarhook.protocol.Tokens
import org.medlarhook.protocol.UpstreamStatus
import org.medlarhook.protocol.WatchRequest
import org.medlarhook.sidecar.attempt.AttemptTable
import org.medlarhook.sidecar.engine.EngineAdapter
import org.medlarhook.sidecar.engine.EngineRequest
import org.medlarhook.sidecar.service.ServiceAdapter
import org.medlarhook.protocol.RunState as WireRunState

/** Answers the calls of entries. */
internal class SidecarRpc(
    private val incarnation: Long,
    private val status: () -> UpstreamStatus,
    private val engine: EngineAdapter?,
    private val service: ServiceAdapter?,
) : SidecarServiceGrpc.SidecarServiceImplBase() {
    private val attempts = AttemptTable()

    override fun generate(request: GenerateRequest, responses: StreamObserver<GenerateEvent>) {
        val observer = responses as ServerCallStreamObserver<GenerateEvent>
        val failure = admit(request.incarnation, request.attemptId) ?: run(request, observer)
        failure?.let { responses.onNext(GenerateEvent.newBuilder().setRefusal(it.toRefusal()).build()) }
        if (!observer.isCancelled) responses.onCompleted()
    }

    override fun callService(call: ServiceCall, responses: StreamObserver<ServiceAnswer>) {
        val failure = admit(call.incarnation, call.attemptId)
        val answer =
            if (failure != null || service == null) {
                val refusal = failure ?: Failure(ResultCode.UNKNOWN_SERVICE, RunState.NOT_RUN)
                ServiceAnswer.newBuilder().setRefusal(refusal.toRefusal()).build()
            } else {
                service.call(call).also { attempts.finish(call.attemptId, it) }
            }
        responses.onNext(answer)
        responses.onCompleted()
    }

    override fun seal(request: SealRequest, responses: StreamObserver<SealAnswer>) {
        responses.onNext(attempts.seal(request.attemptId))
        responses.onCompleted()
    }

    override fun watch(request: WatchRequest, responses: StreamObserver<UpstreamStatus>) {
        responses.onNext(status())
    }

    private fun admit(forIncarnation: Long, attemptId: String): Failure? =
        when {
            forIncarnation != incarnation -> Failure(ResultCode.WRONG_INCARNATION, RunState.NOT_RUN)
            !attempts.start(attemptId) -> Failure(ResultCode.DUPLICATE_ATTEMPT, RunState.NOT_RUN)
            else -> null
        }

    private fun run(request: GenerateRequest, observer: ServerCallStreamObserver<GenerateEvent>): Failure? {
        if (engine == null) return Failure(ResultCode.UNKNOWN_MODEL, RunState.NOT_RUN)
        observer.onNext(GenerateEvent.newBuilder().setStarted(Started.getDefaultInstance()).build())
        val result =
            engine.generate(request.toEngineRequest(), observer::isCancelled) { token ->
                val tokens = Tokens.newBuilder().setFirstIndex(token.index).addTexts(token.text)
                observer.onNext(GenerateEvent.newBuilder().setTokens(tokens).build())
            }
        attempts.finish(request.attemptId)
        return result.fold(
            ifLeft = { it },
            ifRight = { end ->
                val finished = Finished.newBuilder().setFinishReason(end.end)
                observer.onNext(GenerateEvent.newBuilder().setFinished(finished).build())
                null
            },
        )
    }

    private fun GenerateRequest.toEngineRequest() =
        EngineRequest(
            attemptId = attemptId,
            model = model,
            adapter = adapter,
            prompt = prompt,
            promptTokens = promptTokens,
            maxOutputTokens = maxOutputTokens,
            resumeFromToken = resumeFromToken,
            priority = priority,
        )

    private fun Failure.toRefusal(): Refusal =
        Refusal
            .newBuilder()
            .setCode(code.number)
            .setRunState(WireRunState.valueOf(runState.name))
            .setDetail(detail)
            .setRetryAfterMs(retryAfterMs ?: 0)
            .build()
}

package org.medlarhook.sidecar.attempt

import arrow.core.Either
import org.medlarhook.core.attempt.AttemptWork
import org.medlarhook.core.attempt.SharedDispatcher
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.RunState
import org.medlarhook.ports.TimeSource
import org.medlarhook.protocol.Finished
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.Started
import org.medlarhook.sidecar.engine.EngineAdapter
import org.medlarhook.sidecar.engine.EngineEnd
import org.medlarhook.sidecar.engine.EngineRequest
import org.medlarhook.sidecar.engine.EngineToken
import org.medlarhook.sidecar.engine.TokenSink
import org.medlarhook.sidecar.operators.SidecarMetrics
import org.medlarhook.sidecar.receipt.ReceiptLog
import org.medlarhook.sidecar.rpc.EventStream
import org.medlarhook.sidecar.rpc.toRefusal

/** A generation at the engine whose events are streamed to the entry. */
internal class GenerateTask(
    private val request: GenerateRequest,
    private val stream: EventStream,
    engine: EngineAdapter,
    private val dispatcher: SharedDispatcher<ServiceAnswer>,
    private val receipts: ReceiptLog,
    private val metrics: SidecarMetrics,
    private val time: TimeSource,
) : AttemptTask,
    TokenSink {
    private val arrivedAtMs = time.monotonicMs()
    private val call = engine.prepare(request.toEngineRequest(), arrivedAtMs + request.remainingMs)
    private var startedAtMs = 0L
    private var firstTokenAtMs = 0L
    private var receivedTokens = 0L

    override val work =
        AttemptWork(
            attemptId = request.attemptId,
            workspace = request.workspace,
            weight = maxOf(1, request.weight),
            priority = request.priority,
            promptTokens = if (request.kvHandle.isEmpty()) request.promptTokens.toLong() else 0,
            outputTokens = outputLimit(),
            deadlineMs = arrivedAtMs + request.remainingMs,
        )

    override fun run(): AttemptEnd {
        startedAtMs = time.monotonicMs()
        stream.send(GenerateEvent.newBuilder().setStarted(Started.newBuilder().setQueuedMs(startedAtMs - arrivedAtMs)))
        return when (val result = call.run(this)) {
            is Either.Right -> finished(result.value)
            is Either.Left -> failed(result.value)
        }
    }

    override fun refuse(failure: Failure) {
        stream.end(GenerateEvent.newBuilder().setRefusal(failure.toRefusal()))
    }

    override fun stop(): Unit = call.cancel()

    override fun onToken(token: EngineToken): Boolean {
        if (receivedTokens++ == 0L) onFirstToken()
        return stream.addToken(token.index, token.text)
    }

    override fun onPause(): Unit = stream.flush()

    private fun onFirstToken() {
        firstTokenAtMs = time.monotonicMs()
        if (request.resumeFromToken == 0 && request.kvHandle.isEmpty()) {
            dispatcher.updateSpeeds { recordPrefill(request.promptTokens.toLong(), firstTokenAtMs - startedAtMs) }
        }
    }

    private fun finished(end: EngineEnd): AttemptEnd {
        dispatcher.updateSpeeds {
            recordDecode(receivedTokens - 1, time.monotonicMs() - firstTokenAtMs)
            if (!request.prefillOnly) recordOutput(receivedTokens, outputLimit())
        }
        return AttemptEnd(code = null, retainedAnswer = null) { load ->
            stream.flushAll()
            val finished =
                Finished
                    .newBuilder()
                    .setFinishReason(end.finishReason)
                    .setKvHandle(end.kvHandle)
                    .setReceipt(recordReceipt())
            stream.end(GenerateEvent.newBuilder().setFinished(finished).setLoad(load))
        }
    }

    private fun failed(failure: Failure): AttemptEnd =
        AttemptEnd(failure.code, retainedAnswer = null) { load ->
            stream.flushAll()
            if (failure.runState != RunState.NOT_RUN) recordReceipt()
            stream.end(GenerateEvent.newBuilder().setRefusal(failure.toRefusal()).setLoad(load))
        }

    /** Bills the prompt to the attempt that delivers the first token, each output token to the one that delivers it. */
    private fun recordReceipt(): Receipt {
        val deliveredTokens = stream.deliveredTokens
        metrics.delivered(deliveredTokens)
        val deliversFirstToken = request.resumeFromToken == 0 && deliveredTokens > 0
        return receipts.record(
            Receipt
                .newBuilder()
                .setWorkspace(request.workspace)
                .setRequestId(request.requestId)
                .setAttemptId(request.attemptId)
                .setResource(request.model)
                .setPromptTokens(if (deliversFirstToken) request.promptTokens.toLong() else 0)
                .setOutputTokens(deliveredTokens)
                .setFinishedAtMs(time.wallMs()),
        )
    }

    private fun outputLimit(): Long =
        if (request.prefillOnly) 0 else maxOf(0L, request.maxOutputTokens.toLong() - request.resumeFromToken)

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
            kvHandle = kvHandle,
            kvSource = kvSource,
            prefillOnly = prefillOnly,
        )
}

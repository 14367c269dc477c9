package org.medlarhook.sidecar.rpc

import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.ports.TimeSource
import org.medlarhook.protocol.AttemptState
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.OrderHint
import org.medlarhook.protocol.OrderHintAck
import org.medlarhook.protocol.ReceiptsPage
import org.medlarhook.protocol.ReceiptsRequest
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.SealRequest
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.protocol.SidecarServiceGrpc
import org.medlarhook.protocol.UpstreamStatus
import org.medlarhook.protocol.WatchRequest
import org.medlarhook.sidecar.IncarnationContext
import org.medlarhook.sidecar.attempt.GenerateTask
import org.medlarhook.sidecar.attempt.ServiceTask
import org.medlarhook.sidecar.control.OrderLoop
import org.medlarhook.sidecar.engine.EngineAdapter
import org.medlarhook.sidecar.operators.SidecarMetrics
import org.medlarhook.sidecar.service.ServiceAdapter
import org.medlarhook.sidecar.status.StatusPublisher

/** Serves the RPCs of entries. No handler blocks; attempts run on worker threads. */
internal class SidecarRpc(
    private val context: () -> IncarnationContext?,
    private val orders: OrderLoop,
    private val publisher: StatusPublisher,
    private val engine: EngineAdapter?,
    private val service: ServiceAdapter?,
    private val metrics: SidecarMetrics,
    private val time: TimeSource,
) : SidecarServiceGrpc.SidecarServiceImplBase() {
    override fun generate(request: GenerateRequest, responses: StreamObserver<GenerateEvent>) {
        val current = context()
        val observer = responses as ServerCallStreamObserver<GenerateEvent>
        val stream = EventStream(observer) { current?.runner?.cancel(request.attemptId) }
        if (current == null || engine == null) {
            stream.end(GenerateEvent.newBuilder().setRefusal(failureOf(current, ResultCode.UNKNOWN_MODEL).toRefusal()))
            return
        }
        val task = GenerateTask(request, stream, engine, current.dispatcher, current.receipts, metrics, time)
        current.runner.submit(task, request.incarnation)
    }

    override fun callService(call: ServiceCall, responses: StreamObserver<ServiceAnswer>) {
        val current = context()
        val observer = responses as ServerCallStreamObserver<ServiceAnswer>
        val responder = UnaryResponder(observer) { current?.runner?.cancel(call.attemptId) }
        if (current == null || service == null) {
            val refusal = failureOf(current, ResultCode.UNKNOWN_SERVICE).toRefusal()
            responder.respond(ServiceAnswer.newBuilder().setRefusal(refusal).build())
            return
        }
        val task = ServiceTask(call, responder, service, current.dispatcher, current.receipts, time)
        current.runner.submit(task, call.incarnation)
    }

    override fun seal(request: SealRequest, responses: StreamObserver<SealAnswer>) {
        val answer = context()?.runner?.seal(request.attemptId, request.incarnation) ?: undetermined()
        responses.onNext(answer)
        responses.onCompleted()
    }

    override fun watch(request: WatchRequest, responses: StreamObserver<UpstreamStatus>) {
        publisher.add(responses as ServerCallStreamObserver<UpstreamStatus>)
    }

    override fun notifyOrder(hint: OrderHint, responses: StreamObserver<OrderHintAck>) {
        orders.hint()
        val ack = OrderHintAck.newBuilder().setAppliedGeneration(orders.completedGeneration)
        responses.onNext(ack.build())
        responses.onCompleted()
    }

    override fun pullReceipts(request: ReceiptsRequest, responses: StreamObserver<ReceiptsPage>) {
        val receipts = context()?.receiptLogs?.firstOrNull { it.incarnation == request.incarnation }
        val limit = request.limit.coerceIn(1, MAX_RECEIPTS_PER_PAGE)
        responses.onNext(receipts?.page(request.afterSequence, limit) ?: ReceiptsPage.getDefaultInstance())
        responses.onCompleted()
    }

    private fun failureOf(current: IncarnationContext?, code: ResultCode): Failure =
        if (current == null) {
            Failure(ResultCode.NO_UPSTREAM, RunState.NOT_RUN, "not registered yet", RETRY_AFTER_MS)
        } else {
            Failure(code, RunState.NOT_RUN)
        }

    private fun undetermined(): SealAnswer = SealAnswer.newBuilder().setState(AttemptState.UNDETERMINED).build()

    private companion object {
        const val MAX_RECEIPTS_PER_PAGE = 1_000
        const val RETRY_AFTER_MS = 1_000L
    }
}

package org.medlarhook.systemtest.sidecar

import io.grpc.ManagedChannel
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.StreamObserver
import org.medlarhook.harness.UpstreamNode
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.ReceiptsPage
import org.medlarhook.protocol.ReceiptsRequest
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.SealRequest
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.protocol.SidecarServiceGrpc
import org.medlarhook.protocol.UpstreamStatus
import org.medlarhook.protocol.WatchRequest
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** gRPC client that calls a sidecar as an entry does. */
class SidecarClient(
    private val node: UpstreamNode,
) : AutoCloseable {
    private val channel: ManagedChannel =
        NettyChannelBuilder
            .forAddress(node.settings.entries.host, node.settings.entries.port)
            .usePlaintext()
            .disableRetry()
            .build()
    private val async = SidecarServiceGrpc.newStub(channel)
    private val blocking = SidecarServiceGrpc.newBlockingStub(channel)

    /** All statuses received since [watch], in order. */
    val statuses = CopyOnWriteArrayList<UpstreamStatus>()

    fun watch() {
        val observer =
            object : StreamObserver<UpstreamStatus> {
                override fun onNext(value: UpstreamStatus) {
                    statuses += value
                }

                override fun onError(t: Throwable) = Unit

                override fun onCompleted() = Unit
            }
        async.watch(WatchRequest.newBuilder().setEntryId("test").build(), observer)
    }

    fun incarnation(): Long =
        blocking
            .withDeadlineAfter(5, TimeUnit.SECONDS)
            .watch(WatchRequest.getDefaultInstance())
            .next()
            .incarnation

    fun generate(id: String, maxTokens: Int, configure: GenerateRequest.Builder.() -> Unit = {}): StreamResult {
        val result = StreamResult()
        val request =
            GenerateRequest
                .newBuilder()
                .setAttemptId(id)
                .setWorkspace("w")
                .setWeight(1)
                .setIncarnation(incarnation())
                .setModel(MODEL)
                .setPrompt("prompt")
                .setPromptTokens(10)
                .setMaxOutputTokens(maxTokens)
                .setRemainingMs(60_000)
                .apply(configure)
                .build()
        async.generate(request, EventCollector(result))
        return result
    }

    fun call(id: String, body: String, configure: ServiceCall.Builder.() -> Unit = {}): ServiceAnswer {
        val call =
            ServiceCall
                .newBuilder()
                .setAttemptId(id)
                .setWorkspace("w")
                .setIncarnation(incarnation())
                .setMethod("POST")
                .setPathAndQuery("/bookings")
                .setBody(com.google.protobuf.ByteString.copyFromUtf8(body))
                .setRemainingMs(3_000)
                .apply(configure)
                .build()
        return blocking.withDeadlineAfter(call.remainingMs, TimeUnit.MILLISECONDS).callService(call)
    }

    fun seal(id: String, incarnation: Long = incarnation()): SealAnswer =
        blocking
            .withDeadlineAfter(20, TimeUnit.SECONDS)
            .seal(SealRequest.newBuilder().setAttemptId(id).setIncarnation(incarnation).build())

    fun receipts(afterSequence: Long = 0): ReceiptsPage =
        blocking.pullReceipts(
            ReceiptsRequest
                .newBuilder()
                .setIncarnation(incarnation())
                .setAfterSequence(afterSequence)
                .setLimit(1_000)
                .build(),
        )

    override fun close() {
        channel.shutdownNow()
    }

    private class EventCollector(
        private val result: StreamResult,
    ) : StreamObserver<GenerateEvent> {
        override fun onNext(value: GenerateEvent) {
            if (value.hasStarted()) result.started.complete(Unit)
            value.tokens.textsList.forEachIndexed { offset, text ->
                result.indexes += value.tokens.firstIndex + offset
                result.texts += text
            }
            if (value.hasFinished()) result.finished = value.finished
            if (value.hasRefusal()) result.refusal = value.refusal
        }

        override fun onError(t: Throwable) {
            result.ended.complete(false)
        }

        override fun onCompleted() {
            result.ended.complete(result.finished != null || result.refusal != null)
        }
    }

    companion object {
        const val MODEL = "verdict-lm"
    }
}

package org.medlarhook.entry

import com.google.protobuf.ByteString
import io.grpc.Context
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import org.medlarhook.protocol.AttemptState
import org.medlarhook.protocol.Finished
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.SealRequest
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.protocol.ServiceResponse
import org.medlarhook.protocol.SidecarServiceGrpc
import org.medlarhook.protocol.Tokens
import org.medlarhook.protocol.UpstreamStatus
import org.medlarhook.protocol.WatchRequest
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/** A scripted sidecar for tests, which listens on a free port of the loopback address. */
internal class FakeSidecarServer : AutoCloseable {
    /** Handles a generation. The default sends all tokens from the one to resume at, then the last event. */
    @Volatile
    var onGenerate: (GenerateRequest, ServerCallStreamObserver<GenerateEvent>) -> Unit = { request, events ->
        for (index in request.resumeFromToken until request.maxOutputTokens) events.onNext(token(index))
        events.onNext(finished())
        events.onCompleted()
    }

    /** Handles a service call. The default answers with status 201 and a numbered booking. */
    @Volatile
    var onCall: (ServiceCall, StreamObserver<ServiceAnswer>) -> Unit = { _, answers ->
        answers.onNext(booked("booking ${calls.size}"))
        answers.onCompleted()
    }

    /** The answer to each seal request. */
    @Volatile
    var sealAnswer: SealAnswer = SealAnswer.newBuilder().setState(AttemptState.SEALED).build()

    val generations = CopyOnWriteArrayList<GenerateRequest>()
    val calls = CopyOnWriteArrayList<ServiceCall>()
    val seals = CopyOnWriteArrayList<SealRequest>()
    private val watchers = CopyOnWriteArrayList<StreamObserver<UpstreamStatus>>()

    private val server =
        NettyServerBuilder
            .forAddress(InetSocketAddress("127.0.0.1", 0))
            .addService(Service())
            .build()
            .start()

    val address = "127.0.0.1:${server.port}"

    /** Sends all watchers the status of a draining upstream. */
    fun drain() {
        watchers.forEach { it.onNext(status(isDraining = true)) }
    }

    override fun close() {
        server.shutdownNow()
    }

    private fun status(isDraining: Boolean) =
        UpstreamStatus
            .newBuilder()
            .setIncarnation(1)
            .setAccepting(true)
            .setDraining(isDraining)
            .build()

    private inner class Service : SidecarServiceGrpc.SidecarServiceImplBase() {
        override fun generate(request: GenerateRequest, responses: StreamObserver<GenerateEvent>) {
            generations += request
            val events = responses as ServerCallStreamObserver<GenerateEvent>
            Context.current().fork().run { Thread { onGenerate(request, events) }.start() }
        }

        override fun callService(call: ServiceCall, responses: StreamObserver<ServiceAnswer>) {
            calls += call
            onCall(call, responses)
        }

        override fun seal(request: SealRequest, responses: StreamObserver<SealAnswer>) {
            seals += request
            responses.onNext(sealAnswer)
            responses.onCompleted()
        }

        override fun watch(request: WatchRequest, responses: StreamObserver<UpstreamStatus>) {
            watchers += responses
            responses.onNext(status(isDraining = false))
        }
    }

    companion object {
        fun token(index: Int): GenerateEvent =
            GenerateEvent
                .newBuilder()
                .setTokens(Tokens.newBuilder().setFirstIndex(index).addTexts("t$index "))
                .build()

        fun finished(): GenerateEvent =
            GenerateEvent.newBuilder().setFinished(Finished.newBuilder().setFinishReason("length")).build()

        fun booked(text: String): ServiceAnswer =
            ServiceAnswer
                .newBuilder()
                .setResponse(ServiceResponse.newBuilder().setStatus(201).setBody(ByteString.copyFromUtf8(text)))
                .build()
    }
}

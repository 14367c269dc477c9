package org.medlarhook.entry.upstream

import io.grpc.Status
import io.grpc.stub.ClientCallStreamObserver
import io.grpc.stub.ClientResponseObserver
import io.grpc.stub.StreamObserver
import org.medlarhook.core.claim.SealResult
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.SealRequest
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.protocol.SidecarServiceGrpc
import java.util.concurrent.TimeUnit

/** Calls sidecars over gRPC. */
internal class GrpcSidecarClient : SidecarClient {
    override fun generate(link: UpstreamLink, request: GenerateRequest, listener: GenerateListener): GenerateStream {
        val observer = GenerateObserver(listener)
        SidecarServiceGrpc
            .newStub(link.channel)
            .withDeadlineAfter(request.remainingMs + DEADLINE_SLACK_MS, TimeUnit.MILLISECONDS)
            .generate(request, observer)
        return observer
    }

    override fun callService(link: UpstreamLink, call: ServiceCall, done: (ServiceAnswer?) -> Unit) {
        SidecarServiceGrpc
            .newStub(link.channel)
            .withDeadlineAfter(call.remainingMs + DEADLINE_SLACK_MS, TimeUnit.MILLISECONDS)
            .callService(call, SingleObserver(done))
    }

    override fun seal(
        link: UpstreamLink,
        attemptId: String,
        incarnation: Long,
        done: (SealResult) -> Unit,
    ) {
        val request =
            SealRequest
                .newBuilder()
                .setAttemptId(attemptId)
                .setIncarnation(incarnation)
                .build()
        SidecarServiceGrpc
            .newStub(link.channel)
            .withDeadlineAfter(SEAL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .seal(request, SingleObserver<SealAnswer> { done(it?.toSealResult() ?: SealResult.Unreachable) })
    }

    /** Passes the answer of a unary call to [done], or null if the call failed. */
    private class SingleObserver<T>(
        private val done: (T?) -> Unit,
    ) : StreamObserver<T> {
        private var answer: T? = null

        override fun onNext(value: T) {
            answer = value
        }

        override fun onError(cause: Throwable) = done(null)

        override fun onCompleted() = done(answer)
    }

    private class GenerateObserver(
        private val listener: GenerateListener,
    ) : ClientResponseObserver<GenerateRequest, GenerateEvent>,
        GenerateStream {
        private lateinit var call: ClientCallStreamObserver<GenerateRequest>

        override fun beforeStart(requestStream: ClientCallStreamObserver<GenerateRequest>) {
            call = requestStream
            requestStream.disableAutoRequestWithInitial(GenerateStream.INITIAL_EVENTS)
        }

        override fun onNext(event: GenerateEvent) = listener.event(event)

        override fun onError(cause: Throwable) = listener.ended(Status.fromThrowable(cause).code.name)

        override fun onCompleted() = listener.ended("the stream has ended")

        override fun request(count: Int) = call.request(count)

        override fun cancel() = call.cancel("superseded", null)
    }

    private companion object {
        const val DEADLINE_SLACK_MS = 1_000L
        const val SEAL_TIMEOUT_MS = 1_000L
    }
}

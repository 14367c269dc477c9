package org.medlarhook.runtime.traffic

import io.grpc.ManagedChannelBuilder
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.stub.StreamObserver
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.SealRequest
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.protocol.SidecarServiceGrpc
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ControlTrafficTest {
    private val serverMeters = SimpleMeterRegistry()
    private val clientMeters = SimpleMeterRegistry()
    private val server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .addStreamTracerFactory(ControlTraffic(serverMeters).serverTracer)
            .addService(FixedAnswers())
            .build()
            .start()
    private val channel = ManagedChannelBuilder.forAddress("127.0.0.1", server.port).usePlaintext().build()
    private val stub =
        SidecarServiceGrpc.newBlockingStub(channel).withInterceptors(ControlTraffic(clientMeters).clientInterceptor)

    @AfterTest
    fun close() {
        channel.shutdownNow()
        server.shutdownNow()
    }

    private fun SimpleMeterRegistry.total(name: String) = get("medlarhook.control.$name").counter().count()

    @Test
    fun `Given a control call and a call for a caller, then client and server count only the control call`() {
        stub.seal(SealRequest.newBuilder().setAttemptId("a".repeat(100)).build())
        stub.callService(ServiceCall.newBuilder().setAttemptId("b".repeat(5_000)).build())
        assertEquals(2.0, clientMeters.total("messages"))
        assertEquals(2.0, serverMeters.total("messages"))
        assertTrue(clientMeters.total("bytes") in 100.0..1_000.0)
        assertTrue(serverMeters.total("bytes") in 100.0..1_000.0)
    }

    private class FixedAnswers : SidecarServiceGrpc.SidecarServiceImplBase() {
        override fun seal(request: SealRequest, responses: StreamObserver<SealAnswer>) {
            responses.onNext(SealAnswer.getDefaultInstance())
            responses.onCompleted()
        }

        override fun callService(request: ServiceCall, responses: StreamObserver<ServiceAnswer>) {
            responses.onNext(ServiceAnswer.getDefaultInstance())
            responses.onCompleted()
        }
    }
}

package org.medlarhook.runtime.traffic

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientInterceptor
import io.grpc.ClientStreamTracer
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.ServerStreamTracer
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Request
import okhttp3.Response
import org.medlarhook.protocol.SidecarServiceGrpc

/**
 * Counts the messages and bytes of a process's control traffic: calls to the platform, peers and sidecars, except calls
 * that carry requests of callers.
 */
public class ControlTraffic(
    registry: MeterRegistry,
) {
    private val messages = Counter.builder("medlarhook.control.messages").register(registry)
    private val bytes = Counter.builder("medlarhook.control.bytes").register(registry)

    /** Counts the control calls that a gRPC channel sends. */
    public val clientInterceptor: ClientInterceptor = ControlInterceptor()

    /** Counts the control calls that a gRPC server receives. */
    public val serverTracer: ServerStreamTracer.Factory = ServerTracerFactory()

    /** Counts all calls that an HTTP client sends. */
    public val httpListener: EventListener = HttpCounter()

    private inner class ControlInterceptor : ClientInterceptor {
        override fun <Q, A> interceptCall(
            method: MethodDescriptor<Q, A>,
            options: CallOptions,
            next: Channel,
        ): ClientCall<Q, A> {
            val counted = if (isControl(method.fullMethodName)) options.withStreamTracerFactory(tracers) else options
            return next.newCall(method, counted)
        }
    }

    private val tracers =
        object : ClientStreamTracer.Factory() {
            override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata) = ClientCounter()
        }

    private inner class ClientCounter : ClientStreamTracer() {
        override fun outboundMessage(seqNo: Int) = messages.increment()

        override fun inboundMessage(seqNo: Int) = messages.increment()

        override fun outboundWireSize(count: Long) = bytes.increment(count.toDouble())

        override fun inboundWireSize(count: Long) = bytes.increment(count.toDouble())
    }

    private inner class ServerTracerFactory : ServerStreamTracer.Factory() {
        override fun newServerStreamTracer(fullMethodName: String, headers: Metadata): ServerStreamTracer =
            if (isControl(fullMethodName)) ServerCounter() else NoOpTracer
    }

    private inner class ServerCounter : ServerStreamTracer() {
        override fun outboundMessage(seqNo: Int) = messages.increment()

        override fun inboundMessage(seqNo: Int) = messages.increment()

        override fun outboundWireSize(count: Long) = bytes.increment(count.toDouble())

        override fun inboundWireSize(count: Long) = bytes.increment(count.toDouble())
    }

    private object NoOpTracer : ServerStreamTracer()

    private inner class HttpCounter : EventListener() {
        override fun requestHeadersEnd(call: Call, request: Request) {
            messages.increment()
            bytes.increment(request.headers.byteCount().toDouble())
        }

        override fun requestBodyEnd(call: Call, byteCount: Long) = bytes.increment(byteCount.toDouble())

        override fun responseHeadersEnd(call: Call, response: Response) {
            messages.increment()
            bytes.increment(response.headers.byteCount().toDouble())
        }

        override fun responseBodyEnd(call: Call, byteCount: Long) = bytes.increment(byteCount.toDouble())
    }

    private companion object {
        val REQUEST_METHODS =
            setOf(
                SidecarServiceGrpc.getGenerateMethod().fullMethodName,
                SidecarServiceGrpc.getCallServiceMethod().fullMethodName,
            )

        fun isControl(fullMethodName: String) = fullMethodName !in REQUEST_METHODS
    }
}

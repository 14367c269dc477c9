package org.medlarhook.sidecar.rpc

import io.grpc.Server
import io.grpc.ServerStreamTracer
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel
import org.medlarhook.runtime.settings.ListenAddress
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Builds the gRPC server for entries. Its handlers never block, so they run directly on the event loops. */
internal object RpcServer {
    private const val EVENT_LOOP_THREADS = 2
    private const val MAX_MESSAGE_BYTES = 8_388_608
    private const val MAX_CALLS_PER_CONNECTION = 1_024
    private const val KEEP_ALIVE_INTERVAL_S = 5L
    private const val KEEP_ALIVE_TIMEOUT_S = 5L

    /** Builds the server without starting it. */
    fun build(address: ListenAddress, rpc: SidecarRpc, tracer: ServerStreamTracer.Factory): Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(address.host, address.port))
            .bossEventLoopGroup(NioEventLoopGroup(1))
            .workerEventLoopGroup(NioEventLoopGroup(EVENT_LOOP_THREADS))
            .channelType(NioServerSocketChannel::class.java)
            .directExecutor()
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .maxConcurrentCallsPerConnection(MAX_CALLS_PER_CONNECTION)
            .keepAliveTime(KEEP_ALIVE_INTERVAL_S, TimeUnit.SECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS)
            .permitKeepAliveTime(1, TimeUnit.SECONDS)
            .permitKeepAliveWithoutCalls(true)
            .addStreamTracerFactory(tracer)
            .addService(rpc)
            .build()
}

package org.medlarhook.entry.upstream

import io.grpc.ClientInterceptor
import io.grpc.ManagedChannel
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel
import java.util.concurrent.TimeUnit

/**
 * Opens channels without encryption. The retries of gRPC are disabled. It may still resend a call that certainly did
 * not reach the application, and the sidecar recognises a resent call by its attempt id. Events are handled on the
 * threads of [workers] that read them, because no handler blocks.
 */
internal class PlainChannelFactory(
    private val workers: EventLoopGroup,
    private val interceptor: ClientInterceptor,
) : ChannelFactory {
    override fun open(address: String): ManagedChannel =
        NettyChannelBuilder
            .forTarget(address)
            .usePlaintext()
            .disableRetry()
            .intercept(interceptor)
            .eventLoopGroup(workers)
            .channelType(NioSocketChannel::class.java)
            .directExecutor()
            .keepAliveTime(KEEP_ALIVE_S, TimeUnit.SECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS)
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .build()

    private companion object {
        const val KEEP_ALIVE_S = 300L
        const val KEEP_ALIVE_TIMEOUT_S = 5L
        const val MAX_MESSAGE_BYTES = 16_777_216
    }
}

package org.medlarhook.serving.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import org.medlarhook.core.serving.fleet.Endpoint
import org.medlarhook.serving.call.ServingLoop
import java.net.InetSocketAddress

/**
 * Listens for callers' connections and sets up their pipelines.
 *
 * A connection is read until nothing more has arrived, so that its end is known together with a request that was read
 * late: see [Caller.afterReads][org.medlarhook.serving.call.Caller.afterReads].
 */
internal class CallerListener(
    private val group: EventLoopGroup,
    private val serving: ServingLoop,
    private val connections: CallerConnections,
) {
    private var channel: Channel? = null

    /** Accepts connections at [address] and returns the port. */
    fun open(address: Endpoint): Int {
        val opened =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readsToTheEnd())
                .childHandler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(child: Channel) {
                            child.pipeline().addLast(
                                StrictRequestDecoder(connections.limits().headerBytes),
                                HttpResponseEncoder(),
                                CallerConnection(serving, connections),
                            )
                        }
                    },
                ).bind(address.host, address.port)
                .syncUninterruptibly()
                .channel()
        channel = opened
        return (opened.localAddress() as InetSocketAddress).port
    }

    fun close() {
        channel?.close()
    }

    /** Reads on after a read that did not fill its buffer, because the end of the connection may follow. */
    private fun readsToTheEnd() =
        AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_TURN)

    private companion object {
        /** Reads of one connection before the others have their turn. */
        const val READS_PER_TURN = 16

        /** Connections that may wait to be accepted, so that a burst is queued rather than dropped. */
        const val BACKLOG = 512
    }
}

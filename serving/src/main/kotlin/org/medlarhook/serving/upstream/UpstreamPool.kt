package org.medlarhook.serving.upstream

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpDecoderConfig
import jdk.net.ExtendedSocketOptions
import org.medlarhook.core.serving.fleet.Endpoint
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.call.CallFormat

/**
 * The connections to all upstreams, kept by incarnation. Used on the event loop only.
 *
 * The connection that was used last is taken first, so that the others age and close.
 */
internal class UpstreamPool(
    private val loop: EventLoop,
    private val format: CallFormat,
    private val time: TimeSource,
) {
    private val idle = HashMap<Incarnation, ArrayDeque<UpstreamConnection>>()
    private var open = 0

    /** Connections that are open, for metrics. */
    val openConnections: Int get() = open

    /**
     * Sends [request] to [upstream], on a kept connection if one is fit.
     *
     * With [mayRepeat] false only a connection that was in use within [FRESH_MS] is taken: a request that runs once
     * at most is lost on a connection that the upstream has closed meanwhile.
     */
    fun send(
        upstream: Upstream,
        attemptId: String?,
        request: FullHttpRequest,
        mayRepeat: Boolean,
        listener: AttemptListener,
    ): AttemptHandle {
        val handle = AttemptHandle(listener)
        val kept = take(upstream.incarnation, mayRepeat)
        if (kept != null) {
            handle.connection = kept
            kept.send(attemptId, request, listener)
        } else {
            connect(upstream, attemptId, request, handle)
        }
        return handle
    }

    /** Closes connections that have been idle too long, and all to upstreams not in [known]. */
    fun prune(known: Set<Incarnation>) {
        val nowMs = time.monotonicMs()
        idle.entries.removeIf { (incarnation, connections) ->
            val expired = connections.filter { incarnation !in known || !isFit(it, nowMs) }
            connections.removeAll(expired.toSet())
            expired.forEach { it.close() }
            connections.isEmpty()
        }
    }

    /** Closes the idle connections to [incarnation], after one of them went silent. */
    fun distrust(incarnation: Incarnation) {
        idle.remove(incarnation)?.forEach { it.close() }
    }

    private fun take(incarnation: Incarnation, mayRepeat: Boolean): UpstreamConnection? {
        val connections = idle[incarnation] ?: return null
        val nowMs = time.monotonicMs()
        while (connections.isNotEmpty()) {
            val connection = connections.last()
            val isFresh = mayRepeat || nowMs - connection.idleSinceMs <= FRESH_MS
            if (!isFresh) return null
            connections.removeLast()
            if (connection.isOpen && isFit(connection, nowMs)) return connection
            connection.close()
        }
        return null
    }

    private fun isFit(connection: UpstreamConnection, nowMs: Long): Boolean =
        connection.isOpen && nowMs - connection.idleSinceMs < connection.idleTimeoutMs * IDLE_SHARE

    private fun connect(upstream: Upstream, attemptId: String?, request: FullHttpRequest, handle: AttemptHandle) {
        val connection =
            UpstreamConnection(
                format,
                onIdle = { release(upstream.incarnation, it) },
                onClosed = { closed(upstream.incarnation, it) },
            )
        val connecting = bootstrap(upstream.address, connection)
        open++
        connecting.addListener { result ->
            when {
                !result.isSuccess -> {
                    open--
                    request.release()
                    handle.listener.takeUnless { handle.isAbandoned }
                        ?.onFailure(AttemptFailure.CONNECT_FAILED, wasSent = false)
                }
                handle.isAbandoned -> {
                    request.release()
                    release(upstream.incarnation, connection)
                }
                else -> {
                    handle.connection = connection
                    connection.send(attemptId, request, handle.listener)
                }
            }
        }
    }

    private fun bootstrap(address: Endpoint, connection: UpstreamConnection) =
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_COUNT)
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        channel.pipeline().addLast(HttpClientCodec(DECODER, false, false), connection)
                    }
                },
            ).connect(address.host, address.port)

    private fun release(incarnation: Incarnation, connection: UpstreamConnection) {
        connection.idleSinceMs = time.monotonicMs()
        connection.setReading(true)
        idle.getOrPut(incarnation) { ArrayDeque() }.addLast(connection)
    }

    private fun closed(incarnation: Incarnation, connection: UpstreamConnection) {
        open--
        idle[incarnation]?.remove(connection)
    }

    private companion object {
        val DECODER: HttpDecoderConfig = HttpDecoderConfig().setMaxHeaderSize(32 * 1024)

        /** Ten round trips between regions; a live host answers long before. */
        const val CONNECT_TIMEOUT_MS = 400

        /** Upstreams close idle connections after seconds; those used a moment ago are safe. */
        const val FRESH_MS = 1_000L

        /** Leaves the last part of an upstream's idle timeout unused, for the way there. */
        const val IDLE_SHARE = 0.6

        /** A dead peer is noticed after three seconds. */
        const val KEEPALIVE_IDLE_S = 1
        const val KEEPALIVE_INTERVAL_S = 1
        const val KEEPALIVE_COUNT = 2
    }
}

/** An attempt that was handed to the pool. */
internal class AttemptHandle(
    val listener: AttemptListener,
) {
    var connection: UpstreamConnection? = null
    var isAbandoned = false
        private set

    /** Ends the attempt; its listener hears nothing more. */
    fun abandon() {
        if (isAbandoned) return
        isAbandoned = true
        connection?.abandon(listener)
        listener.onAbandoned()
    }

    fun setReading(isReading: Boolean) {
        connection?.setReading(isReading)
    }
}

package org.medlarhook.serving.upstream

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import jdk.net.ExtendedSocketOptions
import org.medlarhook.core.serving.fleet.Endpoint
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.call.CallFormat

/**
 * Pools the connections to all upstreams by incarnation. Used on the event loop only.
 *
 * The connection that was used last is reused first, so that surplus connections exceed the idle timeout and close.
 */
internal class UpstreamPool(
    private val loop: EventLoop,
    private val format: CallFormat,
    private val time: TimeSource,
    private val availability: UpstreamAvailability,
    private val answers: AnswerLog,
) {
    private val idle = HashMap<Incarnation, ArrayDeque<UpstreamConnection>>()
    private var open = 0
    private var opened = 0L

    /** The number of connections that are open or being opened, for metrics. */
    val openConnections: Int get() = open

    /**
     * Sends [request] to [upstream], on an idle connection if one is reusable, else on a new one.
     *
     * If [mayRunAgain] is false, only a connection that was in use within [RECENT_USE_MS] is reused: a request that may
     * run at most once can't be retried if the upstream has closed the connection in the meantime. Nor is one reused on
     * which an earlier answer could be taken for the one to [request]. If [permits] don't allow the request when it
     * would be sent, the attempt fails.
     */
    fun send(
        upstream: Upstream,
        attemptId: String?,
        request: FullHttpRequest,
        mayRunAgain: Boolean,
        permits: RequestPermits,
        listener: AttemptListener,
    ): AttemptHandle {
        val handle = AttemptHandle(listener)
        val idleConnection =
            takeIdle(upstream.incarnation, mayRunAgain) { !listener.usesAnswer || it.isDistinct(attemptId) }
        if (idleConnection == null) {
            connect(upstream, attemptId, request, permits, handle)
        } else if (permits.claim(upstream)) {
            handle.connection = idleConnection
            idleConnection.send(attemptId, request, listener)
        } else {
            release(upstream.incarnation, idleConnection)
            loop.execute { refuse(request, handle) }
        }
        return handle
    }

    private fun refuse(request: FullHttpRequest, handle: AttemptHandle) {
        request.release()
        if (!handle.isAbandoned) handle.listener.onFailure(AttemptFailure.WORK_NOT_ACCEPTED, wasSent = false)
    }

    /** Closes connections that have been idle too long, and all idle ones to upstreams not [known] or that leave. */
    fun prune(known: Set<Incarnation>) {
        val nowMs = time.monotonicMs()
        idle.entries.removeIf { (incarnation, connections) ->
            val isUseless = incarnation !in known || availability.isLeaving(incarnation)
            val expired = connections.filter { isUseless || !isReusable(it, nowMs) }
            connections.removeAll(expired.toSet())
            expired.forEach { it.close() }
            connections.isEmpty()
        }
    }

    /** Closes the idle connections to [incarnation], after one of them got no answer or reached another upstream. */
    fun closeIdle(incarnation: Incarnation) {
        idle.remove(incarnation)?.forEach { it.close() }
    }

    private fun takeIdle(
        incarnation: Incarnation,
        mayRunAgain: Boolean,
        mayCarry: (UpstreamConnection) -> Boolean,
    ): UpstreamConnection? {
        val connections = idle[incarnation] ?: return null
        val nowMs = time.monotonicMs()
        for (index in connections.indices.reversed()) {
            val connection = connections[index]
            if (!mayRunAgain && nowMs - connection.idleSinceMs > RECENT_USE_MS) return null
            val isReusable = isReusable(connection, nowMs)
            if (isReusable && !mayCarry(connection)) continue
            connections.removeAt(index)
            if (isReusable) return connection
            connection.close()
        }
        return null
    }

    private fun isReusable(connection: UpstreamConnection, nowMs: Long): Boolean =
        connection.isOpen && nowMs - connection.idleSinceMs < connection.idleTimeoutMs * IDLE_TIMEOUT_SHARE

    private fun connect(
        upstream: Upstream,
        attemptId: String?,
        request: FullHttpRequest,
        permits: RequestPermits,
        handle: AttemptHandle,
    ) {
        val connection =
            UpstreamConnection(
                upstream,
                ++opened,
                format,
                time,
                answers,
                onIdle = { release(upstream.incarnation, it) },
                onClosed = { closed(upstream.incarnation, it) },
                onHead = { head, sentAtMs -> availability.answered(upstream, head, sentAtMs) },
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
                !permits.claim(upstream) -> {
                    connection.close()
                    refuse(request, handle)
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
            .channel(UpstreamChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_COUNT)
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        channel.pipeline().addLast(connection.decoder, HttpRequestEncoder(), connection)
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
        /** Ten round trips between regions; a host that is up accepts well before. */
        const val CONNECT_TIMEOUT_MS = 400

        /** Upstreams close idle connections only after seconds, so that one used this recently is still open. */
        const val RECENT_USE_MS = 1_000L

        /** Share of an upstream's idle timeout in which a connection is reused; the rest covers network delay. */
        const val IDLE_TIMEOUT_SHARE = 0.6

        /** With these three settings, TCP detects a dead peer after three seconds. */
        const val KEEPALIVE_IDLE_S = 1
        const val KEEPALIVE_INTERVAL_S = 1
        const val KEEPALIVE_COUNT = 2
    }
}

/** Controls an attempt that was passed to [UpstreamPool.send]. */
internal class AttemptHandle(
    val listener: AttemptListener,
) {
    var connection: UpstreamConnection? = null
    var isAbandoned = false
        private set

    /** Abandons the attempt: closes the connection that it uses, and calls [AttemptListener.onAbandoned]. */
    fun abandon() {
        if (isAbandoned) return
        isAbandoned = true
        connection?.abandon(listener)
        listener.onAbandoned()
    }

    /** Reads the rest of the answer without reporting it, so that the connection can be used again if it is short. */
    fun discardRest() {
        connection?.discardRest(listener)
    }

    fun setReading(isReading: Boolean) {
        connection?.setReading(isReading)
    }
}

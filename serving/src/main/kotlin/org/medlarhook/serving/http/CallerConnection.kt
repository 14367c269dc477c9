package org.medlarhook.serving.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.medlarhook.core.result.ResultCode
import org.medlarhook.serving.call.Caller
import org.medlarhook.serving.call.Exchange
import org.medlarhook.serving.call.OutputHolder
import org.medlarhook.serving.call.ServingLoop
import java.util.concurrent.Future

/**
 * A caller's connection: reads requests, serves them one exchange at a time, and writes their answers.
 *
 * Reading continues while an exchange runs, so that a closed connection is detected at once. A request that arrives
 * in the meantime is queued.
 */
internal class CallerConnection(
    private val serving: ServingLoop,
    private val connections: CallerConnections,
) : ChannelInboundHandlerAdapter(),
    Caller,
    OutputHolder {
    private lateinit var context: ChannelHandlerContext
    private lateinit var output: CallerOutput
    private val pipelined = ArrayDeque<Any>()
    private var request: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var exchange: Exchange? = null
    private var timer: Future<*>? = null
    private var requestsRead = 0
    private var acceptedAtMs = 0L

    /** The earliest time at which the caller can have connected. */
    private var connectedAtMs = 0L

    /** The earliest time at which the current request can have arrived. */
    private var arrivedAtMs = 0L
    private var isKeepAlive = true
    private var isChunkless = false
    private var isClosing = false

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
        val unwritten = serving.answerBuffers.unwritten
        output = CallerOutput(unwritten, ctx.channel(), this, { serving.maxCallerPauseMs }) { exchange != null }
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        connections.opened(this)
        acceptedAtMs = serving.nowMs()
        connectedAtMs = serving.loopDelay.earliestArrivalMs(acceptedAtMs)
        awaitRequest(idleMs = limits().idleTimeoutMs)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        when {
            isClosing -> ReferenceCountUtil.release(message)
            exchange != null || pipelined.isNotEmpty() -> queue(message)
            else -> read(message)
        }
    }

    private fun queue(message: Any) {
        pipelined.addLast(message)
        if (pipelined.size > MAX_PIPELINED) context.channel().config().isAutoRead = false
    }

    private fun read(message: Any) {
        if (message is HttpRequest) {
            if (message.decoderResult().isFailure) {
                ReferenceCountUtil.release(message)
                return refuse(codeOf(message.decoderResult().cause()))
            }
            beginRequest(message)
        }
        if (message is HttpContent) {
            readContent(message)
            message.release()
        }
    }

    private fun beginRequest(message: HttpRequest) {
        request = message
        arrivedAtMs = earliestArrivalMs()
        body = context.alloc().compositeBuffer(MAX_COMPONENTS)
        if (HttpUtil.is100ContinueExpected(message)) context.writeAndFlush(CONTINUE.retainedDuplicate())
        restartTimer(limits().headerTimeoutMs) { refuse(ResultCode.BODY_TIMEOUT) }
    }

    /** The first request on a connection that was accepted late has waited with it. */
    private fun earliestArrivalMs(): Long {
        val readMs = serving.loopDelay.earliestArrivalMs(serving.nowMs())
        val hasWaited = requestsRead == 0 && connectedAtMs < acceptedAtMs && readMs - acceptedAtMs <= FIRST_REQUEST_MS
        return if (hasWaited) connectedAtMs else readMs
    }

    private fun readContent(content: HttpContent) {
        val current = body ?: return
        if (content.decoderResult().isFailure) return refuse(ResultCode.MALFORMED_REQUEST)
        if (content.content().isReadable) current.addComponent(true, content.content().retain())
        if (current.readableBytes() > limits().bodyBytes) return refuse(ResultCode.BODY_TOO_LARGE)
        if (content is LastHttpContent) beginExchange()
    }

    private fun beginExchange() {
        val head = request!!
        val fullBody = body!!
        request = null
        body = null
        timer?.cancel(false)
        isKeepAlive = HttpUtil.isKeepAlive(head)
        isChunkless = head.protocolVersion() < HttpVersion.HTTP_1_1
        val call = serving.format.readCall(head, fullBody)
        if (call == null) {
            fullBody.release()
            return refuse(ResultCode.MALFORMED_REQUEST)
        }
        val next = Exchange(serving, call, this, ++requestsRead, arrivedAtMs) { exchangeDone() }
        exchange = next
        next.start()
    }

    private fun exchangeDone() {
        exchange = null
        if (isClosing) return
        awaitRequest(limits().idleTimeoutMs)
        context.executor().execute { readPipelined() }
    }

    private fun readPipelined() {
        while (exchange == null && pipelined.isNotEmpty() && !isClosing) read(pipelined.removeFirst())
        if (pipelined.isEmpty()) context.channel().config().isAutoRead = true
    }

    private fun awaitRequest(idleMs: Long) {
        restartTimer(idleMs) { close() }
    }

    private fun restartTimer(afterMs: Long, task: () -> Unit) {
        timer?.cancel(false)
        timer = serving.schedule(serving.nowMs() + afterMs, task)
    }

    private fun refuse(code: ResultCode) {
        timer?.cancel(false)
        body?.release()
        body = null
        request = null
        isKeepAlive = false
        answer(
            code.httpStatus,
            serving.format.ownHeaders(null, null),
            Unpooled.copiedBuffer("${code.title}\n", Charsets.UTF_8),
        )
    }

    private fun codeOf(cause: Throwable): ResultCode =
        if (cause is TooLongFrameException) ResultCode.HEADERS_TOO_LARGE else ResultCode.MALFORMED_REQUEST

    override fun answer(status: Int, headers: HttpHeaders, body: ByteBuf) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body)
        response.headers().set(headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        write(response, body.readableBytes(), isLast = true)
    }

    /**
     * Sends the body in chunks whatever the upstream's framing is, because the end of a connection looks the same if
     * this process is killed. Only callers of HTTP/1.0 know no chunks.
     */
    override fun beginStream(status: Int, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().set(headers)
        if (isChunkless) isKeepAlive = false else HttpUtil.setTransferEncodingChunked(response, true)
        write(response, 0, isLast = false)
    }

    override fun stream(events: ByteBuf) {
        output.account(events.readableBytes()) { context.writeAndFlush(DefaultHttpContent(events)) }
    }

    override fun endStream() {
        if (connections.isStopping) isKeepAlive = false
        val written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        if (!isKeepAlive) written.addListener(closeWhenWritten())
    }

    override fun abort() {
        isClosing = true
        context.channel().config().setOption(io.netty.channel.ChannelOption.SO_LINGER, 0)
        context.close()
    }

    override fun afterReads(task: () -> Unit) =
        context.executor().execute { runCatching(task).onFailure { exceptionCaught(context, it) } }

    override val isConnected: Boolean get() = context.channel().isActive

    override val isWritable: Boolean get() = context.channel().isWritable

    private fun write(response: HttpResponse, bodyBytes: Int, isLast: Boolean) {
        if (connections.isStopping) isKeepAlive = false
        if (!isKeepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = output.account(bodyBytes) { context.writeAndFlush(response) }
        if (isLast && !isKeepAlive) written.addListener(closeWhenWritten())
    }

    private fun closeWhenWritten(): ChannelFutureListener {
        isClosing = true
        return ChannelFutureListener.CLOSE
    }

    /**
     * Closes the connection after its pending output, if no request is on it, it is not closing yet, and the caller has
     * had time for a first request.
     */
    fun closeIfIdle() {
        if (isClosing || hasRequest()) return
        if (requestsRead == 0 && serving.nowMs() - acceptedAtMs < FIRST_REQUEST_MS) return
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(closeWhenWritten())
    }

    private fun hasRequest(): Boolean = exchange != null || request != null || pipelined.isNotEmpty()

    /**
     * Ends the request on the connection, if there is one, and closes the connection. Resets it if output is pending,
     * so that the caller can't mistake a truncated answer for a complete one.
     */
    fun cutOff() {
        exchange?.cutOffAtShutdown()
        when {
            hasPendingOutput() -> abort()
            !isClosing -> close()
        }
    }

    private fun hasPendingOutput(): Boolean = context.channel().unsafe().outboundBuffer()?.isEmpty == false

    private fun close() {
        isClosing = true
        context.close()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        exchange?.callerWritable(isWritable)
        output.writabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isClosing = true
        timer?.cancel(false)
        connections.closed(this)
        exchange?.callerDisconnected()
        body?.release()
        body = null
        pipelined.forEach { ReferenceCountUtil.release(it) }
        pipelined.clear()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        connections.failed(cause)
        ctx.close()
    }

    private fun limits() = connections.limits()

    private companion object {
        /** Message parts that are queued behind a running exchange before reading is paused. */
        const val MAX_PIPELINED = 64
        const val MAX_COMPONENTS = 1_024

        /** Callers send their first request right after they have connected; the rest covers a loop that is late. */
        const val FIRST_REQUEST_MS = 1_000L
        val CONTINUE = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)
    }
}

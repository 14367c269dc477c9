package org.medlarhook.serving.upstream

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.FullHttpRequest
import org.medlarhook.core.serving.answer.ConnectionEnd
import java.util.concurrent.TimeUnit

/** The writing of one request, and what the end of its connection means for its answer: see [ConnectionEnd]. */
internal class RequestWrite(
    private val context: ChannelHandlerContext,
    request: FullHttpRequest,
) {
    private val bodyBytes = request.content().readableBytes()

    /** True once the whole request was passed to the system. */
    var isWritten = false
        private set

    /** True while the connection has ended in order, but may still be reset. */
    var isEndAwaited = false
        private set

    init {
        val mayStayHalfOpen = endNow(isWritten = true) == ConnectionEnd.COMPLETE_UNLESS_RESET
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, mayStayHalfOpen)
        context.writeAndFlush(request).addListener { isWritten = it.isSuccess }
    }

    /** Calls [onEnd] with true once the connection, which has ended in order, is known to complete the answer. */
    fun connectionEnded(onEnd: (isComplete: Boolean) -> Unit) {
        when (endNow(isWritten)) {
            ConnectionEnd.COMPLETE -> onEnd(true)
            ConnectionEnd.INCOMPLETE -> onEnd(false)
            ConnectionEnd.COMPLETE_UNLESS_RESET -> {
                isEndAwaited = true
                val check = { onEnd((context.channel() as? UpstreamChannel)?.isReset != true) }
                context.executor().schedule(check, ConnectionEnd.RESET_WITHIN_MS, TimeUnit.MILLISECONDS)
            }
        }
    }

    private fun endNow(isWritten: Boolean): ConnectionEnd = ConnectionEnd.of(isWritten, bodyBytes)
}

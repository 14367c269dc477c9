package org.medlarhook.serving.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.medlarhook.core.serving.answer.ConnectionHistory
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.call.CallFormat
import org.medlarhook.serving.call.UpstreamHead
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * One connection to an upstream, used by one attempt at a time.
 *
 * An answer that is not that to the latest request, as told by [ConnectionHistory], is an extra one: it is discarded,
 * and the attempt keeps waiting for its own. Anything that arrives while no attempt waits closes the connection, as
 * does an upstream that sends too much that is discarded, or an answer in which another one begins. An answer that is
 * framed may end while its request is still being written; one that ends with the connection may not.
 *
 * @param number number of the connection in this process, for logs.
 * @param onHead called with each head, including those of extra answers, before the attempt that it belongs to; and
 * with the time when the request that it answers was sent, or null for an extra answer.
 */
internal class UpstreamConnection(
    private val upstream: Upstream,
    private val number: Long,
    private val format: CallFormat,
    private val time: TimeSource,
    private val log: AnswerLog,
    private val onIdle: (UpstreamConnection) -> Unit,
    private val onClosed: (UpstreamConnection) -> Unit,
    private val onHead: (UpstreamHead, Long?) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var listener: AttemptListener? = null

    /** Decodes what the upstream sends; the first handler of the connection. */
    val decoder = AnswerDecoder(::isAnswerDue, ::isBodiless, ::unrequested)
    private val headCheck = AnswerHeadCheck(format.singleAnswerHeaders)
    private var history = ConnectionHistory()
    private val body = BodyCheck(format.answerNameHeaders) { history.knows(it) }
    private var write: RequestWrite? = null
    private var sentAtMs = 0L
    private var expectedId: String? = null
    private var requests = 0
    private var expectsHeadOnly = false
    private var isSkipping = false

    /** True while the rest of an answer is read after its attempt has ended. */
    private var isDiscarding = false
    private var discardTimeout: Future<*>? = null
    private var discardedBytes = 0L
    private var skippedHeads = 0
    private var closesAfterAnswer = false

    /** True while the body has come to its end, but may be one into which the head of another answer was written. */
    private var isEndInQuestion = false
    private var framing = BodyFraming.LENGTH

    /** When the connection became idle, on the monotonic clock. */
    var idleSinceMs: Long = 0

    /** How long the upstream keeps the connection open when idle. */
    var idleTimeoutMs: Long = DEFAULT_IDLE_TIMEOUT_MS
        private set

    private val position: ConnectionPosition get() = ConnectionPosition(number, requests)

    val isOpen: Boolean get() = context.channel().isActive

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** True if no answer to an earlier request can be taken for that to a request of the attempt with [id]. */
    fun isDistinct(id: String?): Boolean = history.isDistinct(id)

    /** Sends [request] for the attempt with [id] and reports its events to [attempt]. */
    fun send(id: String?, request: FullHttpRequest, attempt: AttemptListener) {
        listener = attempt
        history = history.sent(id)
        sentAtMs = time.monotonicMs()
        expectedId = id
        expectsHeadOnly = request.method() == HttpMethod.HEAD
        requests++
        isSkipping = false
        isEndInQuestion = false
        discardedBytes = 0
        skippedHeads = 0
        attempt.onSent(position)
        write = RequestWrite(context, request)
    }

    /** Closes the connection if it still serves [attempt], so that the upstream stops working on the request. */
    fun abandon(attempt: AttemptListener) {
        if (listener !== attempt) return
        listener = null
        context.close()
    }

    /** Ends [attempt], and keeps the connection if the rest of the answer is short and arrives soon. */
    fun discardRest(attempt: AttemptListener) {
        if (listener !== attempt) return
        listener = null
        isDiscarding = true
        discardTimeout =
            context.executor().schedule({ context.close() }, MAX_DISCARDING_MS, TimeUnit.MILLISECONDS)
    }

    /** Stops or resumes reading, so that a slow caller causes back-pressure on the upstream. */
    fun setReading(isReading: Boolean) {
        context.channel().config().isAutoRead = isReading
    }

    fun close() {
        context.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            if (isEndInQuestion) return
            if (message is HttpObject && message.decoderResult().isFailure) {
                return failUnreadable("${message.decoderResult().cause()}")
            }
            if (message is HttpResponse) onResponse(message)
            if (message is HttpContent) onContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun onResponse(response: HttpResponse) {
        headCheck.faultOf(response)?.let { return failUnreadable(it) }
        val head = readHead(response)
        val isExtra = !history.isAnswerToLatest(head.attemptId)
        onHead(head, sentAtMs.takeIf { listener != null && !isExtra })
        val current = listener
        if (current == null) {
            if (!isDiscarding) logDiscarded(head, DiscardReason.NO_REQUEST)
            return close()
        }
        isSkipping = isExtra || head.status < FIRST_FINAL_STATUS
        if (isExtra && isAmbiguous(head)) return failUnreadable("an answer without an id, status ${head.status}")
        if (isExtra && head.status >= FIRST_FINAL_STATUS) logDiscarded(head, DiscardReason.OTHER_ID)
        body.restart()
        if (isSkipping) return countSkippedHead()
        history = history.answered(head.attemptId, head.stamp)
        framing = BodyFraming.of(response, expectsHeadOnly)
        readKeepAlive(head, response)
        current.onHead(head, response, framing)
    }

    private fun countSkippedHead() {
        if (++skippedHeads > MAX_SKIPPED_HEADS) failUnreadable("more than $MAX_SKIPPED_HEADS heads before the answer")
    }

    /** True if an extra answer with [head] may be the one that is due, so that what follows it may be a second one. */
    private fun isAmbiguous(head: UpstreamHead): Boolean =
        head.status >= FIRST_FINAL_STATUS && !history.isKnownExtra(head.attemptId, head.stamp)

    /** An answer that consists of a head only is no stream, whatever its media type. */
    private fun readHead(response: HttpResponse): UpstreamHead {
        val head = format.readHead(response)
        return if (expectsHeadOnly) head.copy(isStream = false) else head
    }

    private fun isBodiless(response: HttpResponse): Boolean =
        expectsHeadOnly && history.isAnswerToLatest(format.readHead(response).attemptId)

    private fun onContent(content: HttpContent) {
        if (isDiscarding) return discard(content)
        val current = listener ?: return
        val isLast = content is LastHttpContent
        body.read(content.content())
        if (isSkipping && body.foundName == null) return discard(content)
        if (isLast && body.isInsideHead) body.read(decoder.unreadText)
        if (body.foundName != null) return failSecondAnswer()
        if (content.content().isReadable) current.onBody(content.content())
        if (isLast && listener === current) bodyEnded(current)
    }

    private fun bodyEnded(current: AttemptListener) {
        if (decoder.hasInputEnded) return connectionEnded(current)
        isEndInQuestion = body.isInsideHead && framing != BodyFraming.CONNECTION_CLOSE
        if (decoder.hasUnreadBytes) closesAfterAnswer = true
        if (!isEndInQuestion) finish(current)
    }

    private fun connectionEnded(current: AttemptListener) {
        write?.connectionEnded { isComplete ->
            if (listener === current && isComplete) finish(current) else loseConnection()
        }
    }

    private fun loseConnection() {
        fail(AttemptFailure.CONNECTION_LOST)
        context.close()
    }

    /** Closes a connection whose input has ended, unless a reset would still make its answer incomplete. */
    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent && write?.isEndAwaited != true) ctx.close()
        ctx.fireUserEventTriggered(event)
    }

    /** A body that ends inside what may be a head is whole unless what has arrived with it completes the head. */
    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (isEndInQuestion) listener?.let { finish(it) }
        ctx.fireChannelReadComplete()
    }

    private fun failSecondAnswer() = failUnreadable("the head of an answer to ${body.foundName} in the body")

    private fun discard(content: HttpContent) {
        discardedBytes += content.content().readableBytes()
        if (discardedBytes > MAX_DISCARDED_BYTES) return failUnreadable("over $MAX_DISCARDED_BYTES bytes discarded")
        if (content !is LastHttpContent || !isDiscarding) return
        isDiscarding = false
        discardTimeout?.cancel(false)
        reuseOrClose()
    }

    private fun finish(current: AttemptListener) {
        listener = null
        isEndInQuestion = false
        current.onEnd()
        reuseOrClose()
    }

    private fun reuseOrClose() {
        val isKept = !closesAfterAnswer && framing != BodyFraming.CONNECTION_CLOSE && write?.isWritten == true
        if (isKept && !decoder.hasUnreadBytes) onIdle(this) else context.close()
    }

    private fun isAnswerDue(): Boolean = isDiscarding || (listener != null && !isEndInQuestion)

    private fun unrequested(bytes: ByteBuf) {
        if (isEndInQuestion) return readBehindEnd(bytes)
        if (!isOpen) return
        log.unreadable(upstream, position, null, "${bytes.readableBytes()} unrequested bytes", time.monotonicMs())
        context.close()
    }

    private fun readBehindEnd(bytes: ByteBuf) {
        closesAfterAnswer = true
        body.read(bytes)
        if (body.foundName != null) failSecondAnswer()
    }

    private fun readKeepAlive(head: UpstreamHead, response: HttpResponse) {
        closesAfterAnswer =
            head.closesConnection ||
            expectsHeadOnly ||
            !HttpUtil.isKeepAlive(response) ||
            !history.canCarryMore
        head.idleTimeoutMs?.let { idleTimeoutMs = it }
    }

    private fun logDiscarded(head: UpstreamHead, reason: DiscardReason) =
        log.discarded(upstream, position, head, expectedId, reason, time.monotonicMs())

    private fun failUnreadable(cause: String) {
        log.unreadable(upstream, position, expectedId, cause, time.monotonicMs())
        fail(AttemptFailure.UNREADABLE_ANSWER)
        context.close()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        loseConnection()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail(AttemptFailure.CONNECTION_LOST)
        onClosed(this)
    }

    private fun fail(reason: AttemptFailure) {
        val current = listener ?: return
        listener = null
        current.onFailure(reason, wasSent = true)
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200

        /** An attempt whose answer comes after more interim and late ones than this gets none. */
        const val MAX_SKIPPED_HEADS = 16

        /** More than a late answer or the body of a rejection usually has. */
        const val MAX_DISCARDED_BYTES = 1_048_576L

        /** The rest of a rejection usually arrives with its head. */
        const val MAX_DISCARDING_MS = 1_000L

        /** Idle timeout of connections whose upstream has not sent its own. */
        const val DEFAULT_IDLE_TIMEOUT_MS = 5_000L
    }
}

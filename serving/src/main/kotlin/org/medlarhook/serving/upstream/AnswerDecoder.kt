package org.medlarhook.serving.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import org.medlarhook.core.serving.answer.AnswerStatus

/**
 * Decodes the answers on a connection to an upstream.
 *
 * Bytes that arrive while no answer is due are not decoded: what they begin would be read as the beginning of the next
 * answer.
 *
 * @param isAnswerDue true while the bytes that arrive can be those of an answer.
 * @param isBodiless true if a response is the answer to a request whose answers have no body, as with HEAD.
 * @param onUnrequested called with the bytes that arrived while no answer was due.
 */
internal class AnswerDecoder(
    private val isAnswerDue: () -> Boolean,
    private val isBodiless: (HttpResponse) -> Boolean,
    private val onUnrequested: (ByteBuf) -> Unit,
) : HttpResponseDecoder(CONFIG) {
    /** True once the connection's input has ended; what is decoded then has no other end. */
    var hasInputEnded = false
        private set

    /** True if bytes have arrived that belong to no answer which has been decoded. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    /** The first of these bytes as text. */
    val unreadText: String
        get() = internalBuffer().run {
            toString(readerIndex(), minOf(readableBytes(), MAX_HEAD_BYTES), Charsets.ISO_8859_1)
        }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (isAnswerDue() || message !is ByteBuf) return super.channelRead(ctx, message)
        try {
            onUnrequested(message)
        } finally {
            message.release()
        }
    }

    /** Rejects a status that isn't one, before its text becomes a number. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(AnswerStatus.isValid(initialLine[1])) { "status ${initialLine[1]}; expected 100 to 599" }
        return super.createMessage(initialLine)
    }

    override fun decodeLast(ctx: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        hasInputEnded = true
        super.decodeLast(ctx, input, out)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || (message is HttpResponse && isBodiless(message))

    private companion object {
        const val MAX_HEAD_BYTES = 32 * 1024
        val CONFIG: HttpDecoderConfig = HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES)
    }
}

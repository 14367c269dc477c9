package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import org.medlarhook.serving.upstream.BodyFraming

/**
 * Forwards an upstream's answer to the caller.
 *
 * A plain answer is buffered until it is complete, so that a truncated one never reaches the caller. A stream is
 * forwarded in complete events. Its head is sent with the first event, so that until then another upstream can still
 * serve the request.
 */
internal class Relay(
    private val format: CallFormat,
    private val caller: Caller,
) {
    private var status = 0
    private var headers: HttpHeaders? = null
    private var endsWithClose = false
    private var splitter: EventSplitter? = null
    private var fullBody: ByteBuf? = null

    /** True once a part of the answer has been sent to the caller. */
    var hasBegun = false
        private set

    /** The last event id that was sent to the caller, or null if none was. */
    val lastEventId: Long? get() = splitter?.lastEventId?.takeIf { hasBegun }

    /** True if another upstream can continue: nothing was sent to the caller yet, or an event id was. */
    val canResume: Boolean get() = !hasBegun || lastEventId != null

    val isCallerWritable: Boolean get() = caller.isWritable

    /** Starts an answer with [head]; after an interruption, continues the stream that was begun before. */
    fun begin(head: UpstreamHead, response: HttpResponse, framing: BodyFraming) {
        if (hasBegun) return
        status = head.status
        headers = format.callerHeaders(response)
        endsWithClose = framing == BodyFraming.CONNECTION_CLOSE
        if (head.isStream) {
            splitter = splitter ?: EventSplitter()
        } else {
            fullBody = Unpooled.buffer()
        }
    }

    fun body(bytes: ByteBuf) {
        val events = splitter
        if (events == null) {
            fullBody?.writeBytes(bytes)
        } else {
            events.append(bytes)?.let { deliver(it) }
        }
    }

    /** Completes the answer to the caller. */
    fun end() {
        val events = splitter
        if (events == null) {
            caller.answer(status, headers!!, fullBody!!)
            fullBody = null
            return
        }
        if (!hasBegun) beginStream()
        events.takeRemainder()?.let { caller.stream(it) }
        caller.endStream()
    }

    /** Discards what was not sent to the caller, after the upstream's answer was cut off. */
    fun interrupted() {
        splitter?.discardPending()
        fullBody?.release()
        fullBody = null
    }

    fun release() {
        splitter?.release()
        splitter = null
        fullBody?.release()
        fullBody = null
    }

    private fun deliver(events: ByteBuf) {
        if (!hasBegun) beginStream()
        caller.stream(events)
    }

    private fun beginStream() {
        hasBegun = true
        caller.beginStream(status, headers!!, endsWithClose)
    }
}

package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/**
 * Forwards an upstream's answer to the caller.
 *
 * A plain answer is buffered until it is complete, so that a truncated one never reaches the caller. A stream is
 * forwarded in complete events. Its head is sent with the first event, so that until then another upstream can still
 * serve the request. An answer that is too large to be kept is taken for one without end.
 */
internal class Relay(
    private val format: CallFormat,
    private val caller: Caller,
    private val buffers: AnswerBuffers,
) {
    private var status = 0
    private var headers: HttpHeaders? = null
    private var splitter: EventSplitter? = null
    private var fullBody: AnswerBuffers.AnswerBuffer? = null

    /** True once a part of the answer has been sent to the caller. */
    var hasBegun = false
        private set

    /** The last event id that was sent to the caller, or null if none was. */
    val lastEventId: Long? get() = splitter?.lastEventId?.takeIf { hasBegun }

    /** True if another upstream can continue: nothing was sent to the caller yet, or an event id was. */
    val canResume: Boolean get() = !hasBegun || lastEventId != null

    /** True if the stream has ended although its last event has not. */
    val endsInsideEvent: Boolean get() = splitter?.isInsideEvent == true

    val isCallerWritable: Boolean get() = caller.isWritable

    /** Starts an answer with [head]; after an interruption, continues the stream that was begun before. */
    fun begin(head: UpstreamHead, response: HttpResponse) {
        if (hasBegun) return
        status = head.status
        headers = format.callerHeaders(response)
        if (head.isStream) {
            splitter = splitter ?: EventSplitter()
        } else {
            fullBody = buffers.open()
        }
    }

    /** Takes a part of the body; returns false if the answer, or an event of the stream, is too large to be kept. */
    fun body(bytes: ByteBuf): Boolean {
        val events = splitter ?: return fullBody?.append(bytes) ?: true
        events.append(bytes)?.let { deliver(it) }
        return events.pendingBytes <= MAX_EVENT_BYTES
    }

    /** Completes the answer to the caller. */
    fun end() {
        val events = splitter
        if (events == null) {
            caller.answer(status, headers!!, fullBody!!.take())
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
        caller.beginStream(status, headers!!)
    }

    private companion object {
        /** Far more than an event of some tokens has. */
        const val MAX_EVENT_BYTES = 1_048_576
    }
}

package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import org.medlarhook.serving.upstream.BodyFraming

/**
 * Passes an upstream's answer to the caller.
 *
 * A plain answer is kept until it is whole, so that a truncated one never reaches the caller. A stream goes out by
 * whole events; its head goes out with the first of them, so that until then another upstream can still serve it.
 */
internal class Relay(
    private val format: CallFormat,
    private val caller: Caller,
) {
    private var status = 0
    private var headers: HttpHeaders? = null
    private var endsWithClose = false
    private var splitter: EventSplitter? = null
    private var whole: ByteBuf? = null

    /** True once the caller has got a part of the answer. */
    var hasBegun = false
        private set

    /** The last event that the caller has. */
    val lastEventId: Long? get() = splitter?.lastEventId?.takeIf { hasBegun }

    /** True if another upstream could go on: nothing was delivered yet, or the last event's id is known. */
    val mayContinue: Boolean get() = !hasBegun || lastEventId != null

    val isCallerWritable: Boolean get() = caller.isWritable

    fun begin(head: UpstreamHead, response: HttpResponse, framing: BodyFraming) {
        if (hasBegun) return
        status = head.status
        headers = format.callerHeaders(response)
        endsWithClose = framing == BodyFraming.CONNECTION_CLOSE
        if (head.isStream) {
            splitter = splitter ?: EventSplitter()
        } else {
            whole = Unpooled.buffer()
        }
    }

    fun body(bytes: ByteBuf) {
        val events = splitter
        if (events == null) {
            whole?.writeBytes(bytes)
        } else {
            events.take(bytes)?.let { deliver(it) }
        }
    }

    /** The answer is whole. */
    fun end() {
        val events = splitter
        if (events == null) {
            caller.answer(status, headers!!, whole!!)
            whole = null
            return
        }
        if (!hasBegun) beginStream()
        events.takeRest()?.let { caller.stream(it) }
        caller.endStream()
    }

    /** The answer broke off; what is not delivered is forgotten. */
    fun interrupted() {
        splitter?.dropPending()
        whole?.release()
        whole = null
    }

    fun release() {
        splitter?.release()
        splitter = null
        whole?.release()
        whole = null
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

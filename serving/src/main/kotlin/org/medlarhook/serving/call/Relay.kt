package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/**
 * Forwards an upstream's answer to the caller.
 *
 * A plain answer is buffered until it is complete, so that a truncated one never reaches the caller. A stream is
 * forwarded in complete events. Its head is sent with the first event, so that until then another upstream can still
 * serve the request. Afterwards only a stream that goes on behind the last event may follow. An answer that is too
 * large to be kept is taken for one without end.
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

    /** True while an attempt continues a stream that another one has begun. */
    private var isResumed = false
    private var greatestSentId: Long? = null

    /** True once a part of the answer has been sent to the caller. */
    var hasBegun = false
        private set

    /** The id of the last event that was sent to the caller, or null if none was or it has none. */
    var lastEventId: Long? = null
        private set

    /** True if another upstream can continue: nothing was sent to the caller yet, or the last event has an id. */
    val canResume: Boolean get() = !hasBegun || lastEventId != null

    /** True if the stream has ended although its last event has not. */
    val endsInsideEvent: Boolean get() = splitter?.isInsideEvent == true

    val isCallerWritable: Boolean get() = caller.isWritable

    /** False if an answer with [head] can't be forwarded, because a stream has begun that it does not continue. */
    fun accepts(head: UpstreamHead): Boolean = !hasBegun || head.isStream

    /** Starts an answer with [head], which is accepted; after an interruption, continues the stream that has begun. */
    fun begin(head: UpstreamHead, response: HttpResponse) {
        if (hasBegun) {
            isResumed = true
            return
        }
        status = head.status
        headers = format.callerHeaders(response)
        if (head.isStream) {
            splitter = splitter ?: EventSplitter(buffers)
        } else {
            fullBody = buffers.open()
        }
    }

    /**
     * Takes a part of the body. Returns false if the answer, or an event of the stream, is too large to be kept, or if
     * the events do not go on behind the last one that was sent, as those of a stream that is written twice.
     */
    fun body(bytes: ByteBuf): Boolean {
        val events = splitter ?: return fullBody?.append(bytes) ?: true
        if (!events.append(bytes)) return false
        return events.takeEvents()?.let { deliver(it) } ?: true
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

    private fun deliver(batch: EventBatch): Boolean {
        if (!batch.risesAbove(greatestSentId) || (isResumed && null in batch.ids)) {
            batch.bytes.release()
            return false
        }
        if (!hasBegun) beginStream()
        if (batch.ids.isNotEmpty()) lastEventId = batch.ids.last()
        greatestSentId = batch.greatestId ?: greatestSentId
        caller.stream(batch.bytes)
        return true
    }

    private fun beginStream() {
        hasBegun = true
        caller.beginStream(status, headers!!)
    }
}

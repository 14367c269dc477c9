package org.medlarhook.serving.upstream

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.medlarhook.serving.call.UpstreamHead

/** Receives the events of one attempt. After [onEnd] or [onFailure], only [onAbandoned] may be called. */
internal interface AttemptListener {
    /** False if nothing depends on the answer, so that it may be mistaken for that to another request. */
    val usesAnswer: Boolean get() = true

    /** The request is being written at [position]; from now on the upstream may run it. */
    fun onSent(position: ConnectionPosition)

    /** The head of the final answer has arrived. */
    fun onHead(head: UpstreamHead, response: HttpResponse, framing: BodyFraming)

    /** A part of the body has arrived. The caller of this function releases [bytes]. */
    fun onBody(bytes: ByteBuf)

    /** The answer is complete. */
    fun onEnd()

    /** The attempt has failed; [wasSent] is true if the upstream may have run it. */
    fun onFailure(reason: AttemptFailure, wasSent: Boolean)

    /** The attempt was abandoned by this process, possibly after its end. */
    fun onAbandoned()
}

/** Why an attempt has no complete answer. */
internal enum class AttemptFailure {
    CONNECT_FAILED,
    CONNECTION_LOST,
    UNREADABLE_ANSWER,

    /** The answer's body is complete, but the stream of events in it ends inside an event. */
    STREAM_BROKEN_OFF,

    /** A stream was to be resumed, and the answer is no stream. */
    STREAM_NOT_CONTINUED,

    /** The upstream said that it wants no more work while the connection to it was being opened. */
    WORK_NOT_ACCEPTED,
    ;

    /** True if the answer ended too soon, as it does if the upstream crashes. */
    val isBrokenOff: Boolean get() = this == CONNECTION_LOST || this == STREAM_BROKEN_OFF
}

package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** The caller's side of one request. Used on the event loop only. */
internal interface Caller {
    /** Sends a whole answer. Takes over [body]. */
    fun answer(status: Int, headers: HttpHeaders, body: ByteBuf)

    /** Begins a stream; with [endsWithClose] its end is the end of the connection. */
    fun beginStream(status: Int, headers: HttpHeaders, endsWithClose: Boolean)

    /** Sends a part of the stream. Takes over [events]. */
    fun stream(events: ByteBuf)

    /** Ends the stream as complete. */
    fun endStream()

    /** Ends the connection in a way that does not look like the end of an answer. */
    fun breakOff()

    /** False while the caller reads more slowly than the stream comes. */
    val isWritable: Boolean
}

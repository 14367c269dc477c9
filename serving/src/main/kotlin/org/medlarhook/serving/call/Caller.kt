package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Writes the answer of one request to the caller. Used on the event loop only. */
internal interface Caller {
    /** Sends a complete answer and takes ownership of [body]. */
    fun answer(status: Int, headers: HttpHeaders, body: ByteBuf)

    /** Sends the head of a stream. */
    fun beginStream(status: Int, headers: HttpHeaders)

    /** Sends a part of the stream and takes ownership of [events]. */
    fun stream(events: ByteBuf)

    /** Ends the stream as complete. */
    fun endStream()

    /** Resets the connection, so that the caller can't mistake a truncated answer for a complete one. */
    fun abort()

    /** Runs [task] once all that has arrived on the connection was read. An error in it ends the connection. */
    fun afterReads(task: () -> Unit)

    /** False from the moment at which the end of the connection was read. */
    val isConnected: Boolean

    /** False while the caller reads more slowly than the stream arrives. */
    val isWritable: Boolean
}

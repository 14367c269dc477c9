package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Splits a stream into complete events, so that a caller never receives a part of an event whose rest may be lost.
 *
 * Keeps the last event id that it returned, after which another upstream can resume the stream.
 */
internal class EventSplitter {
    private val pending: ByteBuf = Unpooled.buffer(INITIAL_BYTES)

    /** The last event id that was returned, or null before the first. */
    var lastEventId: Long? = null
        private set

    /** Bytes of an event whose end has not arrived. */
    val pendingBytes: Int get() = pending.readableBytes()

    /** Appends [bytes] and returns all complete events, or null if there is none. */
    fun append(bytes: ByteBuf): ByteBuf? {
        pending.writeBytes(bytes)
        val end = endOfLastEvent()
        if (end < 0) return null
        val events = pending.readBytes(end - pending.readerIndex())
        pending.discardReadBytes()
        lastEventId = lastIdIn(events) ?: lastEventId
        return events
    }

    /** Returns the bytes that are left at the end of a stream, or null if there are none. */
    fun takeRemainder(): ByteBuf? = if (pending.isReadable) pending.readBytes(pending.readableBytes()) else null

    /** Discards a partial event before the stream is resumed at another upstream. */
    fun discardPending() {
        pending.clear()
    }

    fun release() {
        pending.release()
    }

    private fun endOfLastEvent(): Int {
        var i = pending.writerIndex() - 1
        while (i > pending.readerIndex()) {
            if (pending.getByte(i) == LINE_FEED && endsBlankLine(i)) return i + 1
            i--
        }
        return -1
    }

    private fun endsBlankLine(index: Int): Boolean {
        val before = pending.getByte(index - 1)
        if (before == LINE_FEED) return true
        return before == CARRIAGE_RETURN &&
            index - 2 >= pending.readerIndex() &&
            pending.getByte(index - 2) == LINE_FEED
    }

    private fun lastIdIn(events: ByteBuf): Long? {
        val text = events.toString(Charsets.ISO_8859_1)
        val start = text.lastIndexOf(ID_FIELD)
        if (start < 0 || (start > 0 && text[start - 1] != '\n')) return null
        return text.substring(start + ID_FIELD.length).substringBefore('\n').trim().toLongOrNull()
    }

    private companion object {
        const val INITIAL_BYTES = 1_024
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}

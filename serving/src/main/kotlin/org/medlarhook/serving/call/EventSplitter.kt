package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf

/**
 * Splits a stream into complete events, so that a caller never receives a part of an event whose rest may be lost.
 *
 * A line ends with a line feed, a carriage return, or both; an empty line ends an event.
 */
internal class EventSplitter(
    buffers: AnswerBuffers,
) {
    private val buffer = buffers.open(MAX_EVENT_BYTES)
    private val pending: ByteBuf get() = buffer.bytes

    /** Offset in [pending] of the first byte that has not been read. */
    private var position = 0

    /** Offset in [pending] of the line that is being read. */
    private var lineStart = 0
    private var isAfterCarriageReturn = false
    private var isAfterEvent = false

    /** True if a line of an event, not a comment, has begun and the event's end has not arrived. */
    var isInsideEvent = false
        private set

    private val pendingBytes: Int get() = pending.readableBytes()

    /** Appends [bytes]; returns false, and does not append them, if the event that has begun would be too large. */
    fun append(bytes: ByteBuf): Boolean = buffer.append(bytes)

    /** Returns all complete events, or null if there is none. */
    fun takeEvents(): EventBatch? {
        var end = 0
        while (position < pendingBytes) {
            val endsEvent = read(pending.getByte(pending.readerIndex() + position))
            position++
            if (endsEvent) end = position
        }
        if (end == 0) return null
        val events = pending.readBytes(end)
        pending.discardReadBytes()
        buffer.shrink()
        position -= end
        lineStart -= end
        return EventBatch(events, idsIn(events))
    }

    /** Returns the bytes that are left at the end of a stream, or null if there are none. */
    fun takeRemainder(): ByteBuf? = if (pending.isReadable) pending.readBytes(pendingBytes) else null

    /** Discards a partial event before the stream is resumed at another upstream. */
    fun discardPending() {
        pending.clear()
        buffer.shrink()
        position = 0
        lineStart = 0
        isAfterCarriageReturn = false
        isAfterEvent = false
        isInsideEvent = false
    }

    fun release() {
        buffer.release()
    }

    /** Reads [byte] at [position]; returns true if an event ends with it. */
    private fun read(byte: Byte): Boolean {
        val endsPair = byte == LINE_FEED && isAfterCarriageReturn
        isAfterCarriageReturn = byte == CARRIAGE_RETURN
        if (!endsPair) isAfterEvent = isLineEnd(byte) && position == lineStart
        if (position == lineStart && !isLineEnd(byte) && byte != COMMENT) isInsideEvent = true
        if (isAfterEvent) isInsideEvent = false
        if (isLineEnd(byte)) lineStart = position + 1
        return isAfterEvent
    }

    private fun isLineEnd(byte: Byte): Boolean = byte == LINE_FEED || byte == CARRIAGE_RETURN

    private fun idsIn(events: ByteBuf): List<Long?> {
        val ids = ArrayList<Long?>()
        var id: Long? = null
        var isEvent = false
        for (line in events.toString(Charsets.ISO_8859_1).lineSequence()) {
            if (line.isNotEmpty()) {
                isEvent = isEvent || !line.startsWith(COMMENT_PREFIX)
                if (line.startsWith(ID_FIELD)) id = line.substring(ID_FIELD.length).trim().toLongOrNull() ?: id
            } else if (isEvent) {
                ids += id
                id = null
                isEvent = false
            }
        }
        return ids
    }

    private companion object {
        /** Far more than an event of some tokens has. */
        const val MAX_EVENT_BYTES = 1_048_576L
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COMMENT_PREFIX = ":"
        const val COMMENT = ':'.code.toByte()
        const val ID_FIELD = "id:"
    }
}

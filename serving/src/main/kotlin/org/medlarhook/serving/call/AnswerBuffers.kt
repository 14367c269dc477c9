package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.medlarhook.ports.TimeSource

/**
 * Limits the memory of answers and events that are kept until they are whole, over all requests and for each of them,
 * so that upstreams that send without end can't exhaust the process's memory. What was handed to callers' connections
 * and is not written yet takes part of the same memory; slow callers make room first. Used on the event loop only.
 *
 * @param maxBytes the greatest number of bytes kept in all.
 */
internal class AnswerBuffers(
    time: TimeSource,
    private val maxBytes: Long = minOf(MAX_KEPT_BYTES, Runtime.getRuntime().maxMemory() / HEAP_PARTS),
) {
    /** What callers' connections have not written yet. */
    val unwritten = UnwrittenOutput(maxBytes, time)

    /** The memory that all buffers take. */
    var keptBytes = 0L
        private set

    /** Returns an empty buffer that holds up to [sizeLimitBytes], by default for one plain answer. */
    fun open(sizeLimitBytes: Long = maxBytes / ANSWER_PARTS): AnswerBuffer = AnswerBuffer(sizeLimitBytes)

    /** One answer or event, as far as it has arrived. */
    inner class AnswerBuffer(
        private val sizeLimitBytes: Long,
    ) {
        /** The content. Its capacity changes only through this class. */
        val bytes: ByteBuf = Unpooled.buffer(INITIAL_BYTES)
        private var reservedBytes = 0L

        /** Appends [part]; returns false, and does not append it, if the buffer takes more memory than it may. */
        fun append(part: ByteBuf): Boolean {
            val sizeBytes = bytes.readableBytes() + part.readableBytes()
            if (sizeBytes > sizeLimitBytes || !reserve(sizeBytes)) return false
            bytes.discardReadBytes()
            bytes.writeBytes(part)
            return true
        }

        private fun reserve(sizeBytes: Int): Boolean {
            val capacityBytes = bytes.capacity().toLong()
            val neededBytes =
                if (sizeBytes <= capacityBytes) {
                    capacityBytes
                } else {
                    bytes.alloc().calculateNewCapacity(sizeBytes, bytes.maxCapacity()).toLong()
                }
            val addedBytes = neededBytes - reservedBytes
            if (addedBytes > 0) unwritten.makeRoom(keptBytes + addedBytes)
            if (neededBytes > SMALL_BYTES && keptBytes + unwritten.bytes + addedBytes > maxBytes) return false
            keptBytes += addedBytes
            reservedBytes = neededBytes
            return true
        }

        /** Returns memory that an empty buffer does not need any more. */
        fun shrink() {
            if (bytes.isReadable || reservedBytes <= SMALL_BYTES) return
            bytes.clear().capacity(INITIAL_BYTES)
            keptBytes -= reservedBytes - INITIAL_BYTES
            reservedBytes = INITIAL_BYTES.toLong()
        }

        /** Returns the content, which the caller of this function releases. */
        fun take(): ByteBuf {
            keptBytes -= reservedBytes
            reservedBytes = 0
            return bytes
        }

        fun release() {
            take().release()
        }
    }

    private companion object {
        /** Leaves one answer 16 MiB where the heap is large enough. */
        const val MAX_KEPT_BYTES = 67_108_864L

        /** Part of the heap that answers may take. */
        const val HEAP_PARTS = 4

        /** One answer may take this part of what all may. */
        const val ANSWER_PARTS = 4
        const val INITIAL_BYTES = 1_024

        /** Buffers of this size are always granted, so that ordinary answers pass beside some that have no end. */
        const val SMALL_BYTES = 16_384L
    }
}

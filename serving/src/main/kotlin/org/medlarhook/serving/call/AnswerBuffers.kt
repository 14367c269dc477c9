package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Limits the memory of plain answers that are kept until they are whole, over all requests and for each of them, so
 * that upstreams that send without end can't exhaust the process's memory. Used on the event loop only.
 *
 * @param maxBytes the greatest number of bytes kept in all.
 */
internal class AnswerBuffers(
    private val maxBytes: Long = minOf(MAX_KEPT_BYTES, Runtime.getRuntime().maxMemory() / HEAP_PARTS),
) {
    private var keptBytes = 0L

    /** Returns an empty buffer for one answer. */
    fun open(): AnswerBuffer = AnswerBuffer()

    /** One answer, as far as it has arrived. */
    inner class AnswerBuffer {
        private val bytes = Unpooled.buffer()

        /** Appends [part]; returns false, and does not append it, if the answer takes more memory than it may. */
        fun append(part: ByteBuf): Boolean {
            val addedBytes = part.readableBytes()
            val isTooLarge = bytes.readableBytes() + addedBytes > maxBytes / ANSWER_PARTS
            if (isTooLarge || keptBytes + addedBytes > maxBytes) return false
            keptBytes += addedBytes
            bytes.writeBytes(part)
            return true
        }

        /** Returns the answer, which the caller of this function releases. */
        fun take(): ByteBuf {
            keptBytes -= bytes.readableBytes()
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
    }
}

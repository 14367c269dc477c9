package org.medlarhook.serving.upstream

import io.netty.buffer.ByteBuf
import org.medlarhook.core.serving.answer.EmbeddedHeadSearch

/**
 * Searches the body of one answer for the head of another one: see [EmbeddedHeadSearch].
 *
 * @param isKnown true for the id of a request that the connection has carried.
 */
internal class BodyCheck(
    private val idHeader: String,
    private val isKnown: (String) -> Boolean,
) {
    private var search = EmbeddedHeadSearch(idHeader)

    /** The id that the other answer returns, or null if none was found. */
    val foundId: String? get() = search.foundId

    /** True if the body ends inside what may be a head. */
    val isInsideHead: Boolean get() = search.isInsideHead

    /** Begins with the next body. */
    fun restart() {
        search = EmbeddedHeadSearch(idHeader)
    }

    fun read(bytes: ByteBuf) {
        val mayHoldHead = isInsideHead || bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), FIRST_BYTE) >= 0
        if (mayHoldHead) read(bytes.toString(Charsets.ISO_8859_1))
    }

    fun read(text: String) {
        search = search.read(text, isKnown)
    }

    private companion object {
        const val FIRST_BYTE = 'H'.code.toByte()
    }
}

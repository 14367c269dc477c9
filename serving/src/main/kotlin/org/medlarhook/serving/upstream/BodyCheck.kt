package org.medlarhook.serving.upstream

import io.netty.buffer.ByteBuf
import org.medlarhook.core.serving.answer.EmbeddedHeadSearch

/**
 * Searches the body of one answer for the head of another one: see [EmbeddedHeadSearch].
 *
 * @param isKnown true for the id of a request that the connection has carried, and for the stamp of an answer to one.
 */
internal class BodyCheck(
    private val nameHeaders: List<String>,
    private val isKnown: (String) -> Boolean,
) {
    private var search = EmbeddedHeadSearch(nameHeaders)

    /** The id or stamp of the other answer, or null if none was found. */
    val foundName: String? get() = search.foundName

    /** True if the body ends inside what may be a head. */
    val isInsideHead: Boolean get() = search.isInsideHead

    /** Begins with the next body. */
    fun restart() {
        search = EmbeddedHeadSearch(nameHeaders)
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

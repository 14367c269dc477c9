package org.medlarhook.core.serving.answer

/**
 * Searches a body for the head of a further answer, so that an answer which an upstream writes where the rest of
 * another one is due is not taken for that rest.
 *
 * A head counts only if it returns the id of a request that the connection has carried: text that quotes an answer is a
 * body like any other. A second answer that returns no id is not found.
 *
 * @property carried the end of what was read, as far as it may be the beginning of a head.
 */
public class EmbeddedHeadSearch private constructor(
    private val idHeader: String,
    private val carried: String,
    public val foundId: String?,
) {
    /** A search for heads that return their id in the header [idHeader]. */
    public constructor(idHeader: String) : this(idHeader, "", null)

    /** True if the body ends inside what may be a head. */
    public val isInsideHead: Boolean get() = carried.isNotEmpty()

    /** Reads on in [text]; [foundId] is the id of the first head found that [isKnown] to the connection. */
    public fun read(text: String, isKnown: (String) -> Boolean): EmbeddedHeadSearch {
        val all = carried + text
        var position = all.indexOf(PROTOCOL)
        while (position >= 0) {
            val end = endOfHead(all, position)
            val id = idIn(all.substring(position, end?.plus(1) ?: all.length))
            when {
                id != null && isKnown(id) -> return EmbeddedHeadSearch(idHeader, "", id)
                end == null && all.length - position <= MAX_HEAD_CHARS ->
                    return EmbeddedHeadSearch(idHeader, all.substring(position), null)
            }
            position = all.indexOf(PROTOCOL, position + 1)
        }
        return EmbeddedHeadSearch(idHeader, beginningOfProtocol(all), null)
    }

    /** Where the head that may begin at [start] ends, [start] if there is none, or null if it goes on behind [text]. */
    private fun endOfHead(text: String, start: Int): Int? =
        when {
            text.length - start < STATUS_LINE_CHARS -> null
            !STATUS_LINE.matchesAt(text, start) -> start
            else -> EMPTY_LINE.find(text, start)?.range?.first
        }

    private fun idIn(head: String): String? =
        head
            .split('\n')
            .dropLast(1)
            .firstOrNull { it.startsWith("$idHeader:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()

    private fun beginningOfProtocol(text: String): String {
        val length = (minOf(text.length, PROTOCOL.length - 1) downTo 1).firstOrNull { text.endsWith(PROTOCOL.take(it)) }
        return PROTOCOL.take(length ?: 0)
    }

    private companion object {
        const val PROTOCOL = "HTTP/1."
        val STATUS_LINE = Regex("HTTP/1[.][01] [0-9]{3}")
        const val STATUS_LINE_CHARS = 12
        val EMPTY_LINE = Regex("\\n\\r?\\n")

        /** An upstream writes the id among the first headers. */
        const val MAX_HEAD_CHARS = 8 * 1024
    }
}

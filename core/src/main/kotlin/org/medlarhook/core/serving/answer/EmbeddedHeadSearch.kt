package org.medlarhook.core.serving.answer

/**
 * Searches a body for the head of a further answer, so that an answer which an upstream writes where the rest of
 * another one is due is not taken for that rest.
 *
 * A head counts only if it names a request that the connection has carried, or an answer to one: text that quotes
 * another answer is a body like any other. A second answer that names neither is not found.
 *
 * @param carried the end of what was read, as far as it may be the beginning of a head.
 * @property foundName what the first head found names itself by, or null if none was found.
 */
public class EmbeddedHeadSearch private constructor(
    private val nameHeaders: List<String>,
    private val carried: String,
    public val foundName: String?,
) {
    /** A search for heads that name themselves in one of [nameHeaders], such as an id. */
    public constructor(nameHeaders: List<String>) : this(nameHeaders, "", null)

    /** True if the body ends inside what may be a head. */
    public val isInsideHead: Boolean get() = carried.isNotEmpty()

    /** Reads on in [text]; only a name that [isKnown] to the connection counts. */
    public fun read(text: String, isKnown: (String) -> Boolean): EmbeddedHeadSearch {
        val all = carried + text
        var position = all.indexOf(PROTOCOL)
        while (position >= 0) {
            val window = all.substring(position, minOf(all.length, position + MAX_HEAD_CHARS))
            val end = endOfHead(window)
            val name = namesIn(window.take(end?.plus(1) ?: window.length)).firstOrNull(isKnown)
            when {
                name != null -> return EmbeddedHeadSearch(nameHeaders, "", name)
                end == null && window.length < MAX_HEAD_CHARS -> return EmbeddedHeadSearch(nameHeaders, window, null)
            }
            position = all.indexOf(PROTOCOL, position + 1)
        }
        return EmbeddedHeadSearch(nameHeaders, beginningOfProtocol(all), null)
    }

    /** Where the head ends that [text] may begin with: 0 if it begins with none, null if it goes on behind [text]. */
    private fun endOfHead(text: String): Int? =
        when {
            text.length < STATUS_LINE_CHARS -> null
            !STATUS_LINE.matchesAt(text, 0) -> 0
            else -> EMPTY_LINE.find(text)?.range?.first
        }

    private fun namesIn(head: String): List<String> =
        head
            .split('\n')
            .dropLast(1)
            .filter { line -> nameHeaders.any { line.startsWith("$it:", ignoreCase = true) } }
            .map { it.substringAfter(':').trim() }

    private fun beginningOfProtocol(text: String): String {
        val length = (minOf(text.length, PROTOCOL.length - 1) downTo 1).firstOrNull { text.endsWith(PROTOCOL.take(it)) }
        return PROTOCOL.take(length ?: 0)
    }

    private companion object {
        const val PROTOCOL = "HTTP/1."
        val STATUS_LINE = Regex("HTTP/1[.][01] [0-9]{3}")
        const val STATUS_LINE_CHARS = 12
        val EMPTY_LINE = Regex("\n\r?\n")

        /** An upstream writes what names an answer among the first headers. */
        const val MAX_HEAD_CHARS = 8 * 1024
    }
}

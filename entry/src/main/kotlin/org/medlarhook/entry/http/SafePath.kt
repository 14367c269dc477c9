package org.medlarhook.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/**
 * The path of a call of a plain service, which every URL parser interprets in the same way.
 *
 * Routes are matched against [decoded], and the upstream receives [raw], so both must mean the same to any parser.
 * Paths with dot segments, empty segments, path parameters, encoded separators or encoded unreserved characters are
 * refused.
 */
internal data class SafePath(
    val service: String,
    val raw: String,
    val decoded: String,
) {
    companion object {
        /** The prefix of the paths of all plain services. */
        const val PREFIX = "/services/"

        private const val HEX_RADIX = 16
        private const val ESCAPE_LENGTH = 3
        private const val FIRST_PRINTABLE = 0x20
        private const val DELETE = 0x7f
        private val REFUSED_RAW = setOf('\\', ';', '"', '<', '>', '^', '`', '{', '}', '|')
        private val REFUSED_ENCODED = setOf('/', '\\', '%', '.', ';', '?', '#')

        /** Parses [requestUri], the path as the caller sent it, or returns why it is refused. */
        fun parse(requestUri: String): Either<Failure, SafePath> {
            val rest = requestUri.removePrefix(PREFIX)
            val service = rest.substringBefore('/')
            val raw = "/" + rest.substringAfter('/', "")
            val decoded = decode(raw) ?: return refused("the path has an ambiguous encoding")
            val segments = decoded.drop(1).split('/')
            return when {
                segments.any { it == "." || it == ".." } -> refused("the path has dot segments")
                segments.dropLast(1).any { it.isEmpty() } -> refused("the path has empty segments")
                else -> SafePath(service, raw, decoded).right()
            }
        }

        private fun refused(detail: String) = Failure(ResultCode.BAD_PARAMETER, RunState.NOT_RUN, detail).left()

        private fun decode(raw: String): String? {
            val bytes = java.io.ByteArrayOutputStream(raw.length)
            var index = 0
            while (index < raw.length) {
                val char = raw[index]
                if (char == '%') {
                    bytes.write(decodeEscape(raw, index) ?: return null)
                    index += ESCAPE_LENGTH
                } else {
                    if (char in REFUSED_RAW || char.code <= FIRST_PRINTABLE || char.code >= DELETE) return null
                    bytes.write(char.code)
                    index++
                }
            }
            return bytes.toString(Charsets.UTF_8)
        }

        private fun decodeEscape(raw: String, index: Int): Int? {
            if (index + ESCAPE_LENGTH > raw.length) return null
            val value = raw.substring(index + 1, index + ESCAPE_LENGTH).toIntOrNull(HEX_RADIX) ?: return null
            val char = value.toChar()
            val isUnreserved = char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in "-_~"
            val isControl = value < FIRST_PRINTABLE || value == DELETE
            return value.takeUnless { isUnreserved || isControl || char in REFUSED_ENCODED }
        }
    }
}

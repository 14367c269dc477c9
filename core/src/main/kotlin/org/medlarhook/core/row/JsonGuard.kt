package org.medlarhook.core.row

/**
 * Checks a JSON text from outside the process before a parser sees it.
 *
 * The parser descends by recursion, so that a deeply nested text overflows its stack, and it accepts bare words and the
 * same field twice. This check walks over the text once without recursion.
 *
 * @property maxChars the greatest length of a text.
 * @property maxDepth the greatest number of arrays and objects inside each other.
 */
public data class JsonGuard(
    val maxChars: Int = DEFAULT_MAX_CHARS,
    val maxDepth: Int = DEFAULT_MAX_DEPTH,
) {
    /** Returns why [text] must not be parsed, or null if it is a JSON document within the limits. */
    public fun problemOf(text: String): String? {
        if (text.isBlank()) return "the text is empty, expected a JSON document"
        if (text.length > maxChars) return "the text has ${text.length} characters, expected at most $maxChars"
        return try {
            JsonScan(text, maxDepth).document()
            null
        } catch (malformed: MalformedJson) {
            malformed.message
        }
    }

    private companion object {
        /** Twice the greatest answer of a store. */
        const val DEFAULT_MAX_CHARS = 1 shl 21

        /** Several times the depth of what the processes exchange, and far below what a small stack holds. */
        const val DEFAULT_MAX_DEPTH = 32
    }
}

/** Ends a [JsonScan]; has no stack trace, because texts from outside may be malformed often. */
private class MalformedJson(
    message: String,
) : Exception(message, null, false, false)

/** One walk over [text]. */
private class JsonScan(
    private val text: String,
    private val maxDepth: Int,
) {
    private var position = 0
    private val open = ArrayList<Container>()

    /** An array or object that is not closed yet; [names] are the fields so far, or null in an array. */
    private class Container(
        val names: MutableSet<String>?,
    ) {
        var isEmpty = true
        val end get() = if (names == null) ']' else '}'
    }

    fun document() {
        beginValue()
        while (open.isNotEmpty()) member(open.last())
        skipBlanks()
        if (position < text.length) fail("more text after the document")
    }

    /** Reads the end of [container], or the next element or field up to the beginning of its value. */
    private fun member(container: Container) {
        skipBlanks()
        if (peek() == container.end) {
            position++
            open.removeLast()
            return
        }
        if (!container.isEmpty) expect(',')
        container.isEmpty = false
        container.names?.let { name(it) }
        beginValue()
    }

    private fun name(names: MutableSet<String>) {
        skipBlanks()
        val name = string()
        if (!names.add(name)) fail("the field '${name.take(SHOWN_CHARS)}' appears twice")
        skipBlanks()
        expect(':')
    }

    /** Reads a string or literal, or opens an array or object. */
    private fun beginValue() {
        skipBlanks()
        when (peek()) {
            '{' -> open(Container(HashSet()))
            '[' -> open(Container(names = null))
            '"' -> string()
            else -> literal()
        }
    }

    private fun open(container: Container) {
        if (open.size == maxDepth) fail("nested more than $maxDepth deep")
        open += container
        position++
    }

    /** Reads a string and returns its content, with the escapes resolved. */
    private fun string(): String {
        expect('"')
        val begin = position
        var unescaped: StringBuilder? = null
        while (peek() != '"') {
            val next = text[position]
            if (next < ' ') fail("a control character in a string")
            if (next == '\\') {
                val content = unescaped ?: StringBuilder(text.substring(begin, position)).also { unescaped = it }
                content.append(escape())
            } else {
                unescaped?.append(next)
                position++
            }
        }
        return (unescaped?.toString() ?: text.substring(begin, position)).also { position++ }
    }

    private fun escape(): Char {
        position++
        val kind = peek()
        position++
        if (kind == 'u') return hexChar()
        val index = ESCAPES.indexOf(kind)
        if (index < 0) fail("an unknown escape in a string")
        return ESCAPED[index]
    }

    private fun hexChar(): Char {
        val end = position + HEX_DIGITS
        val digits = if (end <= text.length) text.substring(position, end) else ""
        if (digits.isEmpty() || digits.any { it !in HEX }) fail("an unknown escape in a string")
        position = end
        return digits.toInt(HEX_RADIX).toChar()
    }

    private fun literal() {
        val begin = position
        while (position < text.length && text[position] !in LITERAL_ENDS) position++
        val isKnown =
            position - begin <= MAX_LITERAL_CHARS &&
                text.substring(begin, position).let { it in WORDS || NUMBER.matches(it) }
        if (!isKnown) {
            position = begin
            fail("neither a value nor a number of at most $MAX_LITERAL_CHARS characters")
        }
    }

    private fun skipBlanks() {
        while (position < text.length && text[position] in BLANKS) position++
    }

    private fun peek(): Char = if (position < text.length) text[position] else fail("the text ends early")

    private fun expect(char: Char) {
        if (peek() != char) fail("expected '$char'")
        position++
    }

    private fun fail(problem: String): Nothing = throw MalformedJson("no JSON at character ${position + 1}: $problem")

    private companion object {
        const val BLANKS = " \t\r\n"
        const val LITERAL_ENDS = " \t\r\n,:]}[{\""
        const val ESCAPES = "\"\\/bfnrt"
        const val ESCAPED = "\"\\/\b\u000c\n\r\t"
        const val HEX = "0123456789abcdefABCDEF"
        const val HEX_DIGITS = 4
        const val HEX_RADIX = 16
        const val SHOWN_CHARS = 40

        /** Longer than any number that fits a field. */
        const val MAX_LITERAL_CHARS = 64
        val WORDS = setOf("true", "false", "null")
        val NUMBER = Regex("-?(0|[1-9][0-9]*)([.][0-9]+)?([eE][+-]?[0-9]+)?")
    }
}

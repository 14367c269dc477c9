package org.medlarhook.core.serving.answer

/**
 * Recognises heads into which more than one answer was written.
 *
 * If a server stops inside a head and answers once more, a decoder takes the second status line for the rest of the
 * first reason phrase or of a header, and the headers of both answers for those of one. Nothing in such a head can be
 * trusted.
 */
public object HeadCheck {
    private const val PROTOCOL = "HTTP/"

    /** A value may name a protocol and an address, as Via does. */
    private val STATUS_LINE = Regex("HTTP/[0-9][.][0-9] [0-9]{3}(?![0-9.:])")

    /** Says where a second status line stands in a head with [reason] and [headers], or returns null if none does. */
    public fun faultOf(reason: String, headers: Iterable<Pair<String, String>>): String? {
        if (STATUS_LINE in reason) return "a status line in the reason phrase"
        val (name, _) = headers.firstOrNull { (name, value) -> PROTOCOL in name || STATUS_LINE in value } ?: return null
        return "a status line in the header $name"
    }
}

package org.medlarhook.core.serving.answer

/**
 * Recognises heads that are not those of one answer of HTTP.
 *
 * If a server stops inside a head and answers once more, a decoder takes the second status line for the rest of the
 * first reason phrase or of a header, and the headers of both answers for those of one. Nothing in such a head can be
 * trusted.
 */
public object HeadCheck {
    private const val PROTOCOL = "HTTP/"

    /** A value may name a protocol and an address, as Via does. */
    private val STATUS_LINE = Regex("HTTP/[0-9][.][0-9] [0-9]{3}(?![0-9.:])")

    /** Says what is wrong with a head with [status], [reason] and [headers], or returns null if nothing is. */
    public fun faultOf(status: Int, reason: String, headers: Iterable<Pair<String, String>>): String? {
        if (!AnswerStatus.isValid(status)) return "status $status; expected 100 to 599"
        if (STATUS_LINE in reason) return "a status line in the reason phrase"
        val (name, _) = headers.firstOrNull { (name, value) -> PROTOCOL in name || STATUS_LINE in value } ?: return null
        return "a status line in the header $name"
    }
}

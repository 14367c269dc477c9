package org.medlarhook.entry.http

import org.medlarhook.core.call.CallHeader

/** Removes the headers of an upstream's response that must not reach a caller. */
internal object ResponseHeaderFilter {
    /** Returns the headers to send to the caller. */
    fun headers(headers: List<CallHeader>): List<CallHeader> = headers.filterNot { isDropped(it.name.lowercase()) }

    private fun isDropped(name: String): Boolean =
        name in HeaderNames.HOP_BY_HOP ||
            name in HeaderNames.NOT_SENT_TO_CALLER ||
            name.startsWith(HeaderNames.INTERNAL_PREFIX) ||
            name.startsWith(":")
}

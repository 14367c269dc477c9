package org.medlarhook.entry.http

import org.medlarhook.core.call.CallHeader

/** Takes out of a service's answer what must not reach a caller. */
internal object OutwardFilter {
    /** The headers that go outward. */
    fun headers(headers: List<CallHeader>): List<CallHeader> = headers.filterNot { isDropped(it.name.lowercase()) }

    private fun isDropped(name: String): Boolean =
        name in HeaderNames.HOP_BY_HOP ||
            name in HeaderNames.STAYS_INSIDE ||
            name.startsWith(HeaderNames.OWN_PREFIX) ||
            name.startsWith(":")
}

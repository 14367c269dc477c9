package org.medlarhook.entry.http

import java.util.UUID

/** Chooses the id of a request: the caller's if it is well-formed, otherwise a new one. */
internal object RequestIds {
    private val WELL_FORMED = Regex("[A-Za-z0-9._-]{1,64}")

    /** Returns the id of a request whose id header is [presented]. */
    fun of(presented: String?): String = presented?.takeIf { WELL_FORMED.matches(it) } ?: UUID.randomUUID().toString()
}

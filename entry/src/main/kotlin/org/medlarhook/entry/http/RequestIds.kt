package org.medlarhook.entry.http

import java.util.UUID

/** Ids of requests, from the caller if well-formed, otherwise new. */
internal object RequestIds {
    private val WELL_FORMED = Regex("[A-Za-z0-9._-]{1,64}")

    /** The id for a request that came with [presented]. */
    fun of(presented: String?): String = presented?.takeIf { WELL_FORMED.matches(it) } ?: UUID.randomUUID().toString()
}

package org.medlarhook.entry.routing

import org.medlarhook.entry.upstream.UpstreamLink

/** Chooses the upstream for an attempt. */
internal fun interface UpstreamChooser {
    /** Returns one of [candidates], or null if none can take it. */
    fun choose(candidates: List<UpstreamLink>): UpstreamLink?
}

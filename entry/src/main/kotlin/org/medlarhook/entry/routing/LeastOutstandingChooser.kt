package org.medlarhook.entry.routing

import org.medlarhook.entry.upstream.UpstreamLink

/** Takes the upstream with the fewest requests of this entry in flight. */
internal object LeastOutstandingChooser : UpstreamChooser {
    override fun choose(candidates: List<UpstreamLink>): UpstreamLink? = candidates.minByOrNull { it.outstanding.get() }
}

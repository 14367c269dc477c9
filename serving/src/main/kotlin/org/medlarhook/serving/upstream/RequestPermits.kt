package org.medlarhook.serving.upstream

import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream

/**
 * The turns at upstreams that limit their requests, as claimed for one attempt of a request when it is placed.
 *
 * A connection may have to be opened, or a prompt prefilled elsewhere, before a request is sent. A turn that was
 * claimed is kept until then; a limit that is named meanwhile applies as well. An attempt sends each upstream one
 * request.
 *
 * @param maySend false if the request itself must not be sent any more, to any upstream.
 */
internal class RequestPermits(
    private val availability: UpstreamAvailability,
    private val maySend: () -> Boolean = { true },
) {
    private val claimed = HashSet<Incarnation>()

    /** True if the request may be sent to [upstream] now. Claims a turn if it limits its requests. */
    fun claim(upstream: Upstream): Boolean {
        if (!maySend() || !availability.accepts(upstream)) return false
        val incarnation = upstream.incarnation
        if (incarnation in claimed || !availability.isLimited(incarnation)) return true
        return availability.withdrawTurn(incarnation).also { if (it) claimed += incarnation }
    }
}

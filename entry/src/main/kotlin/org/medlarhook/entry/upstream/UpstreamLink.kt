package org.medlarhook.entry.upstream

import io.grpc.ManagedChannel
import org.medlarhook.core.membership.UpstreamRegistration
import java.util.concurrent.atomic.AtomicInteger

/** A registered upstream and the channel to its sidecar. */
internal class UpstreamLink(
    val registration: UpstreamRegistration,
    val channel: ManagedChannel,
) {
    /** Requests that this entry has in flight at the upstream. */
    val outstanding = AtomicInteger()
}

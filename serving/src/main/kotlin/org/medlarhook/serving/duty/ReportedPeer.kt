package org.medlarhook.serving.duty

import org.medlarhook.core.serving.fleet.Endpoint

/**
 * How processes find each other: each publishes its [address] with its usage counts, or null while it has none, and
 * reads those of the others from there. [onProcessesRead] receives them on the event loop.
 */
internal class ReportedPeer(
    val address: () -> Endpoint?,
    val onProcessesRead: (Collection<Endpoint>) -> Unit,
)

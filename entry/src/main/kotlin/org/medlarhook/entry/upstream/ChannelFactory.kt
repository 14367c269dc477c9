package org.medlarhook.entry.upstream

import io.grpc.ManagedChannel

/** Opens channels to sidecars. */
internal fun interface ChannelFactory {
    /** Opens a channel to [address], given as host and port. */
    fun open(address: String): ManagedChannel
}

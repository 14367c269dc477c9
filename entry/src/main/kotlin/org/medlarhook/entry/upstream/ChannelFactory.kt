package org.medlarhook.entry.upstream

import io.grpc.ManagedChannel

/** Opens channels to sidecars. */
internal fun interface ChannelFactory {
    /** Opens a channel to [address], which has the form `host:port`. */
    fun open(address: String): ManagedChannel
}

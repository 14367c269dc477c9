package org.medlarhook.core.lease

import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableNames

/** What a lease covers: the upstreams of one data centre, or the usage reports of one shard. */
@JvmInline
public value class LeaseScope(
    public val name: String,
) {
    /** The row of the lease. */
    public val leaseKey: RowKey get() = RowKey(TableNames.LEASE, name)

    /** The row whose version conditions the writes of the holder. */
    public val epochKey: RowKey get() = RowKey(TableNames.EPOCH, name)

    public companion object {
        /** The scope of the orders and intents of one data centre. */
        public fun upstreams(dataCentre: String): LeaseScope = LeaseScope("upstreams/$dataCentre")

        /** The scope of the usage reports of one shard. */
        public fun usage(shard: String): LeaseScope = LeaseScope("usage/$shard")
    }
}

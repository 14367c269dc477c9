package org.medlarhook.core.lease

import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableNames

/** The resource that a lease protects: the upstreams of one data centre, or the usage reports of one shard. */
@JvmInline
public value class LeaseScope(
    public val name: String,
) {
    /** Key of the lease row, which each renewal replaces. */
    public val leaseKey: RowKey get() = RowKey(TableNames.LEASE, name)

    /** Key of the epoch row, whose version is a condition of all writes of the holder. */
    public val epochKey: RowKey get() = RowKey(TableNames.EPOCH, name)

    public companion object {
        /** Returns the scope of the orders and intents of one data centre. */
        public fun upstreams(dataCentre: String): LeaseScope = LeaseScope("upstreams/$dataCentre")

        /** Returns the scope of the usage reports of one shard. */
        public fun usage(shard: String): LeaseScope = LeaseScope("usage/$shard")
    }
}

package org.medlarhook.core.lease

import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableNames

/**
 * The resource that a lease protects: the upstreams of one data centre, or the usage reports of one shard.
 *
 * @property tableEra the era of the tables, which rises each time they come back from an older copy, as they may on the
 * users' platform; 0 where they lose nothing. Each era has rows of its own: a write with a version from an earlier era,
 * which may be given out again to other content, reaches only rows that nobody reads any more.
 */
public data class LeaseScope(
    public val name: String,
    public val tableEra: Long = 0,
) {
    /** Key of the lease row, which each renewal replaces. */
    public val leaseKey: RowKey get() = RowKey(TableNames.LEASE, rowName)

    /** Key of the epoch row, whose version is a condition of all writes of the holder. */
    public val epochKey: RowKey get() = RowKey(TableNames.EPOCH, rowName)

    /** The epoch after which those of this era begin: above all epochs of earlier eras, also lost ones. */
    public val epochBefore: Long get() = tableEra shl EPOCHS_OF_ERA_BITS

    private val rowName: String get() = if (tableEra == 0L) name else "$name@$tableEra"

    public companion object {
        private const val EPOCHS_OF_ERA_BITS = 32

        /** Returns the scope of the orders and intents of one data centre. */
        public fun upstreams(dataCentre: String): LeaseScope = LeaseScope("upstreams/$dataCentre")

        /** Returns the scope of the usage reports of one shard. */
        public fun usage(shard: String): LeaseScope = LeaseScope("usage/$shard")
    }
}

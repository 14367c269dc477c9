package org.medlarhook.core.lease

import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource

/** The leases that one process holds or waits for, at most [maxHeld] of them held. */
public class LeaseGroup(
    scopes: List<LeaseScope>,
    holder: String,
    settings: LeaseSettings,
    tables: TableService,
    time: TimeSource,
    private val maxHeld: Int,
) {
    /** One keeper a scope, in the order given. */
    public val keepers: Map<LeaseScope, LeaseKeeper> =
        scopes.associateWith { LeaseKeeper(it, holder, settings, tables, time, ::mayTake) }

    /** Does what is due for each lease. */
    public fun run() {
        keepers.values.forEach { it.run() }
    }

    /** Hands all leases back. */
    public fun release() {
        keepers.values.forEach { it.release() }
    }

    private fun mayTake(): Boolean = keepers.values.count { it.isEngaged() } < maxHeld
}

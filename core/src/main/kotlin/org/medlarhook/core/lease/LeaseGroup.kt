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
    /** One manager a scope, in the order given. */
    public val managers: Map<LeaseScope, LeaseManager> =
        scopes.associateWith { LeaseManager(it, holder, settings, tables, time, ::mayAcquire) }

    /** Does what is due for each lease. */
    public fun run() {
        managers.values.forEach { it.run() }
    }

    /** Hands all leases back. */
    public fun release() {
        managers.values.forEach { it.release() }
    }

    private fun mayAcquire(): Boolean = managers.values.count { it.holdsOrAcquires() } < maxHeld
}

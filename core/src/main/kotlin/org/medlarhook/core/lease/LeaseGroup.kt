package org.medlarhook.core.lease

import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource

/** The leases that one process holds or waits for. It holds at most [maxHeld] of them at a time. */
public class LeaseGroup(
    scopes: List<LeaseScope>,
    holder: String,
    settings: LeaseSettings,
    tables: TableService,
    time: TimeSource,
    private val maxHeld: Int,
) {
    /** The manager of each scope, in the order given. */
    public val managers: Map<LeaseScope, LeaseManager> =
        scopes.associateWith { LeaseManager(it, holder, settings, tables, time, mayAcquire = ::mayAcquire) }

    /** Performs the due calls of each lease. */
    public fun run() {
        managers.values.forEach { it.run() }
    }

    /** Releases all leases. */
    public fun release() {
        managers.values.forEach { it.release() }
    }

    private fun mayAcquire(): Boolean = managers.values.count { it.holdsOrAcquires() } < maxHeld
}

package org.medlarhook.entry.control

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.lease.Authority
import org.medlarhook.core.lease.LeaseGroup
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event

/** Acquires, renews and releases the leases of one data centre. */
internal class LeaseLoop(
    private val dataCentre: String,
    private val group: LeaseGroup,
    private val members: EntryMembers,
    private val time: TimeSource,
) {
    private val logger = KotlinLogging.logger {}
    private val loggedEpochs = HashMap<LeaseScope, Long>()

    /**
     * Runs the due steps of each lease. An entry that is no longer a candidate for a lease still renews one that it
     * holds.
     */
    fun run() {
        group.managers.forEach { (scope, manager) ->
            if (manager.holdsOrAcquires() || members.isCandidate(scope, dataCentre)) manager.run()
            logChange(scope, manager.authority())
        }
    }

    /** Releases all leases. */
    fun release(): Unit = group.release()

    /** Returns the authority of the lease on [scope], or null if it is not held or has expired. */
    fun authority(scope: LeaseScope): Authority? =
        group.managers[scope]?.authority()?.takeIf { it.mayAct(time.monotonicMs()) }

    private fun logChange(scope: LeaseScope, authority: Authority?) {
        val epoch = authority?.epoch
        if (loggedEpochs[scope] == epoch) return
        if (epoch == null) loggedEpochs.remove(scope) else loggedEpochs[scope] = epoch
        val change = if (epoch == null) LogEvent.LEASE_LOST else LogEvent.LEASE_TAKEN
        logger.event(change, "scope" to scope.name, "epoch" to epoch)
    }
}

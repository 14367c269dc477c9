package org.medlarhook.entry.control

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.lease.Authority
import org.medlarhook.core.lease.LeaseGroup
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event

/** Takes, renews and hands back the leases of one data centre at one entry. */
internal class LeaseLoop(
    private val dataCentre: String,
    private val group: LeaseGroup,
    private val members: EntryMembers,
    private val time: TimeSource,
) {
    private val logger = KotlinLogging.logger {}
    private val logged = HashMap<LeaseScope, Long>()

    /** Does what is due. A lease that is held is kept even if the entry is no candidate any more. */
    fun run() {
        group.managers.forEach { (scope, keeper) ->
            if (keeper.holdsOrAcquires() || members.isCandidate(scope, dataCentre)) keeper.run()
            logChange(scope, keeper.authority())
        }
    }

    /** Hands all leases back. */
    fun release(): Unit = group.release()

    /** The authority over [scope] if it lasts now, else null. */
    fun authority(scope: LeaseScope): Authority? =
        group.managers[scope]?.authority()?.takeIf { it.mayAct(time.monotonicMs()) }

    private fun logChange(scope: LeaseScope, authority: Authority?) {
        val epoch = authority?.epoch
        if (logged[scope] == epoch) return
        if (epoch == null) logged.remove(scope) else logged[scope] = epoch
        val change = if (epoch == null) LogEvent.LEASE_LOST else LogEvent.LEASE_TAKEN
        logger.event(change, "scope" to scope.name, "epoch" to epoch)
    }
}

package org.medlarhook.core.lease

import arrow.core.flatMap
import arrow.core.right
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource

/**
 * Runs a [LeaseMachine] on the table service. Steps and the release run one at a time under a lock. [authority] may be
 * called from any thread without waiting for them.
 *
 * @param mayAcquire false if the process already holds or acquires as many leases as it may.
 */
public class LeaseManager(
    private val scope: LeaseScope,
    holder: String,
    private val settings: LeaseSettings,
    private val tables: TableService,
    private val time: TimeSource,
    private val mayAcquire: () -> Boolean = { true },
) {
    private val machine = LeaseMachine(scope, holder, settings)
    private val lock = Any()
    private var action: LeaseAction? = null

    /** The current state, also shown in state dumps. */
    @Volatile
    public var state: LeaseState = machine.start(time.monotonicMs())
        private set

    /** Returns the authority of the process, which may have expired, or null if it is not the holder. */
    public fun authority(): Authority? = machine.authority(state)

    /** True if the process holds the lease, or a write of the lease row is under way. */
    public fun holdsOrAcquires(): Boolean = state is LeaseState.Holding || state is LeaseState.Writing

    /** Performs calls until none is due. */
    public fun run() {
        while (step()) Unit
    }

    /** Performs the requested call, or a tick if there is none. Returns true if another call is due. */
    public fun step(): Boolean =
        synchronized(lock) {
            val event = action?.let { perform(it) } ?: LeaseEvent.Tick
            advance(event)
        }

    /** Releases the lease. The outbound calls of the holder must have ended. */
    public fun release() {
        synchronized(lock) {
            run()
            advance(LeaseEvent.Release)
            run()
        }
    }

    private fun advance(event: LeaseEvent): Boolean {
        val step = machine.next(state, event, time.monotonicMs())
        state = step.state
        action = step.action
        return action != null
    }

    private fun perform(action: LeaseAction): LeaseEvent =
        when (action) {
            is LeaseAction.ReadRows -> readRows()
            is LeaseAction.Send -> send(action.write)
        }

    /** Reads the lease row. The epoch row is read only if needed, because most reads are by waiting processes. */
    private fun readRows(): LeaseEvent =
        tables
            .read(scope.leaseKey)
            .flatMap { lease ->
                val epoch =
                    if (machine.needsEpoch(state, lease, time.monotonicMs())) {
                        tables.read(scope.epochKey)
                    } else {
                        null.right()
                    }
                epoch.map { LeaseEvent.RowsRead(lease, it, mayAcquire()) }
            }.fold({ LeaseEvent.Unreachable }, { it })

    private fun send(write: LeaseWrite): LeaseEvent =
        tables.transact(write.transaction()).fold(
            { failure ->
                when (failure) {
                    is TableFailure.Conflict -> LeaseEvent.Conflicted
                    is TableFailure.Unavailable -> LeaseEvent.Unreachable
                    is TableFailure.OutcomeUnknown -> LeaseEvent.OutcomeLost
                }
            },
            { LeaseEvent.Written(it.version) },
        )
}

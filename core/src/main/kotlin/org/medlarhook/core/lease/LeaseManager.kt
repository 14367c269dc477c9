package org.medlarhook.core.lease

import arrow.core.flatMap
import arrow.core.right
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource

/**
 * Runs a [LeaseMachine] over the table service. Steps and hand-back come from one thread at a time; [authority] may be
 * read from any.
 *
 * @param mayAcquire false if the process holds as many leases as it may.
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

    /** Where the process stands, for dumps. */
    @Volatile
    public var state: LeaseState = machine.start(time.monotonicMs())
        private set

    /** The authority that the process has, lapsed or not, or null. */
    public fun authority(): Authority? = machine.authority(state)

    /** True if the process holds the lease or is about to. */
    public fun holdsOrAcquires(): Boolean = state is LeaseState.Holding || state is LeaseState.Writing

    /** Does what is due, until only time can bring more. */
    public fun run() {
        while (step()) Unit
    }

    /** Makes one call, or a tick if no call is due. Returns true if a call is waiting. */
    public fun step(): Boolean =
        synchronized(lock) {
            val event = action?.let { perform(it) } ?: LeaseEvent.Tick
            advance(event)
        }

    /** Asks for the lease to be handed back. The caller's outward calls must have ended. */
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

    /** Reads the lease, and the epoch only if it is needed: most reads are of those who wait. */
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

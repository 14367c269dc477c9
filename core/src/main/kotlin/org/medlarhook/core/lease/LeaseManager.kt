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
 * Authority ends as soon as the era of the tables rises; the lease is then acquired anew in the rows of that era.
 *
 * The monotonic clock may not count a suspension of the VM, so that it is compared with the wall clock whenever
 * authority is asked for or an answer has come. By what the wall clock is ahead the lease is shorter. A wall clock that
 * jumps back may hide a suspension of any length, after which the lease counts as expired until it is renewed.
 *
 * @param era the era of the tables, see [LeaseScope.tableEra].
 * @param mayAcquire false if the process already holds or acquires as many leases as it may.
 */
public class LeaseManager(
    scope: LeaseScope,
    private val holder: String,
    private val settings: LeaseSettings,
    private val tables: TableService,
    private val time: TimeSource,
    private val era: () -> Long = { 0 },
    private val mayAcquire: () -> Boolean = { true },
) {
    @Volatile
    private var scope = scope.copy(tableEra = era())

    @Volatile
    private var machine = LeaseMachine(this.scope, holder, settings)
    private val lock = Any()
    private var action: LeaseAction? = null

    @Volatile
    private var wallGapMs = readWallGapMs()

    /** The current state, also shown in state dumps. */
    @Volatile
    public var state: LeaseState = machine.start(time.monotonicMs())
        private set

    /** Returns the authority of the process, which may have expired, or null if it is not the holder. */
    public fun authority(): Authority? =
        machine.authority(machine.resumed(state, stoodStillMs(readWallGapMs())))?.takeIf { it.scope.tableEra == era() }

    /** Has the lease count as expired until it is renewed, since the process may have been suspended. */
    public fun distrust() {
        synchronized(lock) { state = machine.resumed(state, settings.durationMs) }
    }

    private fun readWallGapMs(): Long = time.wallMs() - time.monotonicMs()

    private fun stoodStillMs(gapMs: Long): Long {
        val jumpMs = gapMs - wallGapMs
        return when {
            jumpMs > MAX_CLOCK_JUMP_MS -> jumpMs
            jumpMs < -MAX_CLOCK_JUMP_MS -> settings.durationMs
            else -> 0
        }
    }

    private fun compareClocks() {
        val gapMs = readWallGapMs()
        state = machine.resumed(state, stoodStillMs(gapMs))
        wallGapMs = gapMs
    }

    /** True if the process holds the lease, or a write of the lease row is under way. */
    public fun holdsOrAcquires(): Boolean = state is LeaseState.Holding || state is LeaseState.Writing

    /** Performs calls until none is due. */
    public fun run() {
        while (step()) Unit
    }

    /** Performs the requested call, or a tick if there is none. Returns true if another call is due. */
    public fun step(): Boolean =
        synchronized(lock) {
            followEra()
            val event = action?.let { perform(it) } ?: LeaseEvent.Tick
            if (followEra()) false else advance(event)
        }

    /** Begins again in the rows of a new era, if there is one; what was read or written before it counts no more. */
    private fun followEra(): Boolean {
        val now = era()
        if (now == scope.tableEra) return false
        scope = scope.copy(tableEra = now)
        machine = LeaseMachine(scope, holder, settings)
        state = machine.restart(state, time.monotonicMs())
        action = null
        return true
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
        compareClocks()
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

    private companion object {
        /** Clocks drift far less between two steps; the margin and the time of a call cover shorter suspensions. */
        const val MAX_CLOCK_JUMP_MS = 300L
    }
}

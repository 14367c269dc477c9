package org.medlarhook.entry.directory

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.directory.DirectoryReplica
import org.medlarhook.core.directory.ReplicaAction
import org.medlarhook.core.directory.ReplicaEvent
import org.medlarhook.core.directory.ReplicaState
import org.medlarhook.core.directory.WritePermit
import org.medlarhook.core.directory.WriteRefusal
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.ports.TimeSource

/**
 * Holds the replica's state. Events are handled one at a time under [lock]. Readers get the newest state without it.
 * Lock order: [lock], then the lock of [arrivalTimes]. Actions are performed without a lock.
 */
internal class ReplicaRunner(
    private val self: EntryRegistration,
    private val replica: DirectoryReplica,
    private val permit: WritePermit,
    private val time: TimeSource,
    private val perform: (ReplicaAction) -> Unit,
) {
    private val lock = Any()

    /** When this entry first had each recent version. */
    val arrivalTimes: VersionArrivalTimes = VersionArrivalTimes()

    /** True once the entry is registered. */
    @Volatile
    var isStarted = false
        private set

    /** The newest state. */
    @Volatile
    var state: ReplicaState = initialState()
        private set

    /** The monotonic time by which the replica's staleness is measured. */
    fun nowMs(): Long = time.monotonicMs()

    /** Starts the replica from an empty state. Call it once the entry is registered. */
    fun start() {
        synchronized(lock) {
            state = initialState()
            isStarted = true
        }
    }

    /** Handles [event] and performs the actions that result from it. */
    fun on(event: ReplicaEvent) {
        val actions = synchronized(lock) { handle(event, nowMs()) }
        actions.forEach(perform)
    }

    /** Opens a write of the directory, or returns why this entry may not write now. */
    fun openWrite(): Either<WriteRefusal, Unit> =
        synchronized(lock) {
            permit.open(state, nowMs()).fold(
                { it.left() },
                { opened -> Unit.right().also { state = opened } },
            )
        }

    private fun handle(event: ReplicaEvent, nowMs: Long): List<ReplicaAction> {
        val step = replica.on(state, event, nowMs)
        arrivalTimes.record(step.state.directory.version, nowMs)
        state = step.state
        return step.actions
    }

    private fun initialState() = ReplicaState.initial(self, nowMs(), seed = self.entryId.hashCode().toLong())
}

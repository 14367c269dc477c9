package org.medlarhook.entry.directory

import arrow.core.Either
import arrow.core.flatMap
import org.medlarhook.core.directory.AppendFailure
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.ReplicaEvent
import org.medlarhook.core.directory.WriteRefusal
import java.util.concurrent.ConcurrentLinkedQueue

/** Appends changes under the write permit. A write whose outcome is unknown stays open until [settle] finds out. */
internal class GuardedAppender(
    private val log: DirectoryLog,
    private val replica: ReplicaRunner,
) : ChangeAppender {
    private val unsettled = ConcurrentLinkedQueue<DirectoryChange>()

    override fun append(change: DirectoryChange): Either<AppendFailure, Long> =
        replica
            .openWrite()
            .mapLeft { AppendFailure.Unavailable(describe(it)) }
            .flatMap { log.append(change).also { note(change, it) } }

    /** Finds out about writes whose outcome is unknown. */
    fun settle() {
        repeat(unsettled.size) {
            val change = unsettled.poll() ?: return
            note(change, log.settle(change))
        }
    }

    private fun note(change: DirectoryChange, result: Either<AppendFailure, Long>) {
        if (result.leftOrNull() is AppendFailure.OutcomeUnknown) {
            unsettled += change
        } else {
            replica.on(ReplicaEvent.WriteSettled(change.takeIf { result.isRight() }))
        }
    }

    private fun describe(refusal: WriteRefusal): String =
        when (refusal) {
            WriteRefusal.TablesUnreachable -> "this entry does not reach the tables"
            is WriteRefusal.Delayed -> "this entry may write in ${refusal.remainingMs} ms"
            is WriteRefusal.UnknownToPeers -> "these entries do not know this entry yet: ${refusal.entryIds}"
        }
}

package org.medlarhook.entry.directory

import arrow.core.Either
import arrow.core.flatMap
import org.medlarhook.core.directory.AppendFailure
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.ReplicaEvent
import org.medlarhook.core.directory.WriteRefusal
import java.util.concurrent.ConcurrentLinkedQueue

/** Appends changes if the write permit allows it. A write of unknown outcome stays open until [settle] resolves it. */
internal class PermitCheckingAppender(
    private val log: DirectoryLog,
    private val replica: ReplicaRunner,
) : ChangeAppender {
    private val writesOfUnknownOutcome = ConcurrentLinkedQueue<DirectoryChange>()

    override fun append(change: DirectoryChange): Either<AppendFailure, Long> =
        replica
            .openWrite()
            .mapLeft { AppendFailure.Unavailable(describe(it)) }
            .flatMap { log.append(change).also { handleResult(change, it) } }

    /** Looks up the outcome of each write whose outcome is unknown. */
    fun settle() {
        repeat(writesOfUnknownOutcome.size) {
            val change = writesOfUnknownOutcome.poll() ?: return
            handleResult(change, log.settle(change))
        }
    }

    private fun handleResult(change: DirectoryChange, result: Either<AppendFailure, Long>) {
        if (result.leftOrNull() is AppendFailure.OutcomeUnknown) {
            writesOfUnknownOutcome += change
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

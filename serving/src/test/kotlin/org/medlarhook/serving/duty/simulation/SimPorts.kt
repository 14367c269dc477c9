package org.medlarhook.serving.duty.simulation

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.serving.usage.StoreClockSample
import org.medlarhook.ports.Committed
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import org.medlarhook.serving.duty.StoreClock
import org.medlarhook.serving.duty.WindowReporting

/** The tables of the store as one process reaches them. */
internal class SimTables(
    private val calls: SimCalls,
    private val store: SimStore,
) : TableService {
    override fun read(key: RowKey): Either<TableFailure, Row?> = answered { store.read(key) }

    override fun scan(
        table: String,
        prefix: String,
        afterKey: String,
        limit: Int,
    ): Either<TableFailure, List<Row>> = answered { store.scan(table, prefix, afterKey, limit) }

    private fun <T> answered(read: () -> T): Either<TableFailure, T> {
        val refused: Either<TableFailure, T> = TableFailure.Unavailable("refused").left()
        return calls.store(SimCall.READ, refused) { read().right() } ?: TableFailure.Unavailable("no answer").left()
    }

    override fun transact(transaction: Transaction): Either<TableFailure, Committed> {
        val refused: Either<TableFailure, Committed> = TableFailure.Unavailable("refused").left()
        return calls.store(callOf(transaction), refused) { store.transact(transaction) }
            ?: TableFailure.OutcomeUnknown("no answer").left()
    }

    private fun callOf(transaction: Transaction): SimCall =
        when (transaction.writes.first().key.table) {
            "usage-window" -> SimCall.SUM_WRITE
            "clock" -> SimCall.OFFSET_WRITE
            "era" -> SimCall.ERA_WRITE
            "usage-count" -> SimCall.COUNT_WRITE
            else -> SimCall.LEASE_WRITE
        }
}

/** The clock of the store as one process reads it. */
internal class SimStoreClock(
    private val calls: SimCalls,
    private val store: SimStore,
) : StoreClock {
    override fun readMs(): Long? = calls.store<Long?>(SimCall.CLOCK_READ, null) { store.currentMs }

    override fun latest(): StoreClockSample? = calls.latestClock
}

/** The platform as one process reaches it. */
internal class SimReporting(
    private val calls: SimCalls,
) : WindowReporting {
    override fun deliver(
        window: Long,
        countByWorkspace: Map<String, Long>,
        holder: String,
        fencingToken: Long,
        isPermitted: () -> Boolean,
    ): Either<String, Unit> =
        when (calls.report(window, countByWorkspace, holder, fencingToken, isPermitted)) {
            true -> Unit.right()
            false -> "refused".left()
            null -> "no answer".left()
        }
}

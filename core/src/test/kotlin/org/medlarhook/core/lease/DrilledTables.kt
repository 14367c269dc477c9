package org.medlarhook.core.lease

import arrow.core.Either
import arrow.core.left
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.fakes.ManualTimeSource
import org.medlarhook.ports.Committed
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction

/** Tables that come back from the state of some seconds ago, in the next era. */
internal class DrilledTables(
    private val time: ManualTimeSource,
) {
    private val applied = ArrayList<Pair<Long, Transaction>>()

    var rows = InMemoryTableService()
        private set
    var era = 1L
        private set

    fun transact(transaction: Transaction): Either<TableFailure, Committed> =
        rows.transact(transaction).onRight { applied += time.monotonicMs() to transaction }

    /** Goes back to the rows and versions of [agoMs] ago. */
    fun restore(agoMs: Long) {
        applied.removeIf { it.first > time.monotonicMs() - agoMs }
        rows = InMemoryTableService()
        applied.forEach { rows.transact(it.second) }
        era++
    }

    /** The tables as one process reaches them; it learns the era from the answers. */
    inner class View : TableService {
        var isReachable = true
        var knownEra = 0L
            private set

        override fun read(key: RowKey): Either<TableFailure, Row?> = reached { rows.read(key) }

        override fun scan(
            table: String,
            prefix: String,
            afterKey: String,
            limit: Int,
        ): Either<TableFailure, List<Row>> = reached { rows.scan(table, prefix, afterKey, limit) }

        override fun transact(transaction: Transaction): Either<TableFailure, Committed> =
            reached { this@DrilledTables.transact(transaction) }

        private fun <T> reached(call: () -> Either<TableFailure, T>): Either<TableFailure, T> =
            if (isReachable) call().also { knownEra = era } else TableFailure.Unavailable("cut off").left()
    }
}

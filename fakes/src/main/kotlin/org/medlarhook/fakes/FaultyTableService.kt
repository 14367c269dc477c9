package org.medlarhook.fakes

import arrow.core.Either
import arrow.core.left
import org.medlarhook.ports.Committed
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction

/**
 * The connection of one process to [target], with a fault that the test sets. Each process of a test has its own
 * instance, so that faults differ between processes.
 */
public class FaultyTableService(
    private val target: TableService,
) : TableService {
    /** The fault injected into all calls until it is changed. Reads fail as unavailable with any fault. */
    @Volatile
    public var fault: TableFault = TableFault.NONE

    override fun read(key: RowKey): Either<TableFailure, Row?> = readUnlessFaulty { target.read(key) }

    override fun scan(
        table: String,
        prefix: String,
        afterKey: String,
        limit: Int,
    ): Either<TableFailure, List<Row>> = readUnlessFaulty { target.scan(table, prefix, afterKey, limit) }

    override fun transact(transaction: Transaction): Either<TableFailure, Committed> =
        when (fault) {
            TableFault.NONE -> target.transact(transaction)
            TableFault.UNAVAILABLE -> TableFailure.Unavailable("outage").left()
            TableFault.REQUEST_LOST -> TableFailure.OutcomeUnknown("request lost").left()
            TableFault.ANSWER_LOST -> {
                target.transact(transaction)
                TableFailure.OutcomeUnknown("answer lost").left()
            }
        }

    private fun <T> readUnlessFaulty(call: () -> Either<TableFailure, T>): Either<TableFailure, T> =
        if (fault == TableFault.NONE) call() else TableFailure.Unavailable("outage").left()
}

package org.medlarhook.core.fuzz

import arrow.core.Either
import org.medlarhook.fakes.FaultyTableService
import org.medlarhook.fakes.TableFault
import org.medlarhook.ports.Committed
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction

/** Table service that loses the next transaction or its answer, and then sets the fault of its [target] to [after]. */
class LossyTables(
    private val target: FaultyTableService,
) : TableService by target {
    private var loss = TableFault.NONE
    private var after = TableFault.NONE

    fun loseNext(loss: TableFault, after: TableFault) {
        this.loss = loss
        this.after = after
    }

    override fun transact(transaction: Transaction): Either<TableFailure, Committed> {
        if (loss == TableFault.NONE || target.fault != TableFault.NONE) return target.transact(transaction)
        target.fault = loss
        loss = TableFault.NONE
        return target.transact(transaction).also { target.fault = after }
    }
}

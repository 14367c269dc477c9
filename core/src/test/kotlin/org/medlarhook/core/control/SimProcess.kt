package org.medlarhook.core.control

import arrow.core.Either
import arrow.core.left
import org.medlarhook.fakes.FaultyTableService
import org.medlarhook.fakes.ManualTimeSource
import org.medlarhook.fakes.TableFault
import org.medlarhook.ports.Committed
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction

/** A simulated process, with a clock that runs at its own rate and a faulty connection to the tables. */
internal class SimProcess(
    val name: String,
    private val simulation: ControlSimulation,
    private val ratePerMille: Int,
    startedMs: Long,
) : TableService {
    val time = ManualTimeSource(wallOffsetMs = 1_700_000_000_000 + startedMs + 10 * ratePerMille)
    var paused = false
    var alive = true
    var nextFault = CallFault.NONE
    private val faulty = FaultyTableService(EffectiveTables(name, simulation))
    private var remainderUs = 0L

    fun advance(ms: Long) {
        val scaled = ms * ratePerMille + remainderUs
        remainderUs = scaled % 1_000
        time.advance(scaled / 1_000)
    }

    fun cutOff(cut: Boolean) {
        faulty.fault = if (cut) TableFault.UNAVAILABLE else TableFault.NONE
    }

    fun isRunning(): Boolean = alive && !paused

    override fun read(key: RowKey): Either<TableFailure, Row?> = faulty.read(key)

    override fun scan(
        table: String,
        prefix: String,
        afterKey: String,
        limit: Int,
    ): Either<TableFailure, List<Row>> = faulty.scan(table, prefix, afterKey, limit)

    override fun transact(transaction: Transaction): Either<TableFailure, Committed> {
        if (faulty.fault != TableFault.NONE) return faulty.transact(transaction)
        return when (consumeFault()) {
            CallFault.ANSWER_LOST -> withFault(TableFault.ANSWER_LOST, transaction)
            CallFault.REQUEST_LOST -> withFault(TableFault.REQUEST_LOST, transaction)
            CallFault.REFUSED -> withFault(TableFault.UNAVAILABLE, transaction)
            CallFault.LATE -> {
                simulation.delayed += { EffectiveTables(name, simulation).transact(transaction) }
                TableFailure.OutcomeUnknown("request delayed").left()
            }
            CallFault.PAUSED_BEFORE -> {
                simulation.elapse(this, PAUSE_MS)
                faulty.transact(transaction)
            }
            CallFault.NONE -> faulty.transact(transaction)
        }
    }

    fun consumeFault(): CallFault = nextFault.also { nextFault = CallFault.NONE }

    private fun withFault(fault: TableFault, transaction: Transaction): Either<TableFailure, Committed> {
        faulty.fault = fault
        return faulty.transact(transaction).also { faulty.fault = TableFault.NONE }
    }

    private companion object {
        const val PAUSE_MS = 25_000L
    }
}

/** The tables without faults. Reports effective transactions to the simulation, and drops the ignored conditions. */
private class EffectiveTables(
    private val process: String,
    private val simulation: ControlSimulation,
) : TableService by simulation.tables {
    override fun transact(transaction: Transaction): Either<TableFailure, Committed> {
        val kept = transaction.conditions.filterNot {
            it.key.table in simulation.ignoredConditions && simulation.ignoresConditions(transaction)
        }
        return simulation.tables.transact(transaction.copy(conditions = kept)).onRight {
            simulation.committed(process, transaction)
        }
    }
}

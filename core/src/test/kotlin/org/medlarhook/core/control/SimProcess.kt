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

/** A process of a world: its clock, which runs at a rate of its own, and its way to the tables. */
internal class SimProcess(
    val name: String,
    private val world: World,
    private val ratePerMille: Int,
    startedMs: Long,
) : TableService {
    val time = ManualTimeSource(wallOffsetMs = 1_700_000_000_000 + startedMs + 10 * ratePerMille)
    var paused = false
    var alive = true
    var nextMishap = Mishap.NONE
    private val faulty = FaultyTableService(EffectiveTables(name, world))
    private var leftOver = 0L

    fun advance(ms: Long) {
        val scaled = ms * ratePerMille + leftOver
        leftOver = scaled % 1_000
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
        return when (takeMishap()) {
            Mishap.ANSWER_LOST -> withFault(TableFault.ANSWER_LOST, transaction)
            Mishap.REQUEST_LOST -> withFault(TableFault.REQUEST_LOST, transaction)
            Mishap.REFUSED -> withFault(TableFault.UNAVAILABLE, transaction)
            Mishap.LATE -> {
                world.late += { EffectiveTables(name, world).transact(transaction) }
                TableFailure.OutcomeUnknown("late").left()
            }
            Mishap.PAUSED_BEFORE -> {
                world.elapseWithout(this, PAUSE_MS)
                faulty.transact(transaction)
            }
            Mishap.NONE -> faulty.transact(transaction)
        }
    }

    fun takeMishap(): Mishap = nextMishap.also { nextMishap = Mishap.NONE }

    private fun withFault(fault: TableFault, transaction: Transaction): Either<TableFailure, Committed> {
        faulty.fault = fault
        return faulty.transact(transaction).also { faulty.fault = TableFault.NONE }
    }

    private companion object {
        const val PAUSE_MS = 25_000L
    }
}

/** The tables behind all faults: tells the world what took effect, and leaves out conditions where told to. */
private class EffectiveTables(
    private val process: String,
    private val world: World,
) : TableService by world.tables {
    override fun transact(transaction: Transaction): Either<TableFailure, Committed> {
        val kept = transaction.conditions.filterNot {
            it.key.table in world.ignoredConditions &&
                world.strips(transaction)
        }
        return world.tables.transact(transaction.copy(conditions = kept)).onRight {
            world.committed(process, transaction)
        }
    }
}

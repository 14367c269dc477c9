package org.medlarhook.serving.duty.simulation

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.ports.Committed
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.Transaction

internal enum class StoreFault { DOWN, SLOW, LOSES_ANSWERS, PERFORMS_LATE }

internal enum class DrilledClock { STEADY, BACK, STOPPED }

/** The store: rows, eras and a clock. In a drill it comes back from an earlier copy, and gives versions out again. */
internal class SimStore(
    private val world: SimWorld,
    var era: Long,
) {
    private var rows: PersistentMap<RowKey, Row> = persistentMapOf()
    private var lastVersion = 0L
    private val copies = ArrayList<Copy>()
    private var clockShiftMs = 0L
    private var faults = emptyList<ActiveFault>()
    private var awayUntilMs = 0L

    /** The time on the clock of the store. */
    val currentMs: Long get() = world.nowMs + CLOCK_START_MS + clockShiftMs

    val isAway: Boolean get() = world.nowMs < awayUntilMs

    fun faultFor(vm: SimVm): StoreFault? =
        faults.lastOrNull { world.nowMs < it.untilMs && (it.vm == null || it.vm == vm) }?.kind

    fun impair(kind: StoreFault, durationMs: Long, vm: SimVm?) {
        faults = faults + ActiveFault(kind, world.nowMs + durationMs, vm)
    }

    /** Goes away for [awayMs], and comes back in the next era with the rows of [copyAgeMs] before. */
    fun drill(copyAgeMs: Long, awayMs: Long, clock: DrilledClock) {
        if (isAway) return
        val copiedAtMs = world.nowMs - copyAgeMs
        awayUntilMs = world.nowMs + awayMs
        world.at(awayUntilMs) {
            val copy = copies.lastOrNull { it.atMs <= copiedAtMs } ?: Copy(0, persistentMapOf(), 0)
            rows = copy.rows
            lastVersion = copy.version
            copies.removeIf { it.atMs > copiedAtMs }
            era++
            clockShiftMs -=
                when (clock) {
                    DrilledClock.STEADY -> 0
                    DrilledClock.BACK -> copyAgeMs + awayMs
                    DrilledClock.STOPPED -> awayMs
                }
        }
    }

    fun read(key: RowKey): Row? = rows[key]

    fun scan(table: String, prefix: String, afterKey: String, limit: Int): List<Row> =
        rows.values
            .filter { it.key.table == table && it.key.key.startsWith(prefix) && it.key.key > afterKey }
            .sortedBy { it.key.key }
            .take(limit)

    fun transact(transaction: Transaction): Either<TableFailure, Committed> {
        val areMet = transaction.conditions.all { (rows[it.key]?.version ?: Condition.ABSENT) == it.version }
        if (!areMet) return TableFailure.Conflict(emptyList()).left()
        lastVersion++
        rows =
            transaction.writes.fold(rows) { all, write ->
                val value = write.value
                if (value == null) all.remove(write.key) else all.put(write.key, Row(write.key, value, lastVersion))
            }
        copies += Copy(world.nowMs, rows, lastVersion)
        return Committed(lastVersion).right()
    }

    private class Copy(
        val atMs: Long,
        val rows: PersistentMap<RowKey, Row>,
        val version: Long,
    )

    private class ActiveFault(
        val kind: StoreFault,
        val untilMs: Long,
        val vm: SimVm?,
    )

    private companion object {
        const val CLOCK_START_MS = 5_000_000L
    }
}

package org.medlarhook.fakes

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.ports.Committed
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import java.util.TreeMap

/** An in-memory table service that is always available; calls are serialised by one lock. */
public class InMemoryTableService : TableService {
    private val lock = Any()
    private val tables = HashMap<String, TreeMap<String, Row>>()
    private var lastVersion = 0L

    override fun read(key: RowKey): Either<TableFailure, Row?> =
        synchronized(lock) { tables[key.table]?.get(key.key).right() }

    override fun scan(
        table: String,
        prefix: String,
        afterKey: String,
        limit: Int,
    ): Either<TableFailure, List<Row>> =
        synchronized(lock) {
            val rows = tables[table] ?: return@synchronized emptyList<Row>().right()
            val from = maxOf(prefix, afterKey)
            rows
                .tailMap(from, true)
                .values
                .asSequence()
                .takeWhile { it.key.key.startsWith(prefix) || it.key.key <= from }
                .filter { it.key.key.startsWith(prefix) && it.key.key > afterKey }
                .take(limit)
                .toList()
                .right()
        }

    override fun transact(transaction: Transaction): Either<TableFailure, Committed> =
        synchronized(lock) {
            val unmet = transaction.conditions.filterNot { it.holds() }
            if (unmet.isNotEmpty()) {
                val current = unmet.mapNotNull { tables[it.key.table]?.get(it.key.key) }
                return@synchronized TableFailure.Conflict(current).left()
            }
            lastVersion++
            transaction.writes.forEach { write ->
                val rows = tables.getOrPut(write.key.table) { TreeMap() }
                val value = write.value
                if (value == null) {
                    rows.remove(write.key.key)
                } else {
                    rows[write.key.key] = Row(write.key, value, lastVersion)
                }
            }
            Committed(lastVersion).right()
        }

    private fun Condition.holds(): Boolean = (tables[key.table]?.get(key.key)?.version ?: Condition.ABSENT) == version
}

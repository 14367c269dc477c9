package org.medlarhook.serving.duty

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.row.RowJson
import org.medlarhook.core.serving.usage.ProcessCount
import org.medlarhook.core.serving.usage.WindowCounts
import org.medlarhook.ports.Committed
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent

private val logger = KotlinLogging.logger {}

/** The usage counts that the processes publish, a row for each window and process. */
internal class UsageCounts(
    private val process: String,
    private val tables: TableService,
) {
    private val unreadable = LinkedHashSet<Pair<String, Long>>()

    /** Writes the counts of this process, by window. */
    fun publish(counts: List<Pair<Long, ProcessCount>>): Either<TableFailure, Committed> {
        val rows = counts.map { (window, count) -> Write(RowKey(TABLE, key(window, process)), RowJson.encode(count)) }
        return tables.transact(Transaction(emptyList(), rows))
    }

    /** Reads the counts of all processes in [window]; one that can't be read is left out. */
    fun of(window: Long): Either<TableFailure, WindowCounts> =
        tables.scan(TABLE, prefix = key(window, "")).map { rows ->
            WindowCounts(rows.mapNotNull { row -> countOf(row)?.let { processOf(row) to it } }.toMap())
        }

    private fun key(window: Long, process: String): String = "${windowKey(window)}/$process"

    private fun processOf(row: Row): String = row.key.key.substringAfter('/')

    private fun countOf(row: Row): ProcessCount? =
        runCatching { RowJson.decode<ProcessCount>(row.value) }
            .onFailure { logUnreadable(row, it) }
            .getOrNull()

    /** Logs each version of a row once; it is read many times until its window is reported. */
    private fun logUnreadable(row: Row, failure: Throwable) {
        if (!unreadable.add(row.key.key to row.version)) return
        if (unreadable.size > MAX_REMEMBERED) unreadable.remove(unreadable.first())
        val cause = "$failure".take(MAX_CAUSE_CHARS)
        logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "count", "row" to row.key.key, "cause" to cause)
    }

    private companion object {
        const val TABLE = "usage-count"
        const val MAX_REMEMBERED = 1_000
        const val MAX_CAUSE_CHARS = 300
    }
}

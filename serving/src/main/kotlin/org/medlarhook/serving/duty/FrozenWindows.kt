package org.medlarhook.serving.duty

import arrow.core.Either
import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.Serializable
import org.medlarhook.core.lease.Authority
import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.process.StoreEra

private val logger = KotlinLogging.logger {}

/**
 * The sums of usage windows, each of which is formed once and kept in the store, so that every holder of the usage
 * lease reports the same counts.
 *
 * A sum counts only in the era of the store in which it was written: the copy from which a store comes back after a
 * drill may lack it, or hold one that was written too late to be reported. So a process remembers the sums that it
 * could report, and writes them again in the next era.
 */
internal class FrozenWindows(
    private val tables: TableService,
    private val era: StoreEra,
) {
    private val remembered = HashMap<Long, Map<String, Long>>()

    /**
     * Returns the counts to report of [window] under [authority]: those in the store or remembered, else the result of
     * [sum], which is written first. Returns null if none is there, or if the store did not confirm that no successor
     * has taken over and that no process has raised [sharedClock].
     */
    fun freeze(
        window: Long,
        authority: Authority,
        sharedClock: SharedClock,
        sum: () -> Map<String, Long>?,
    ): Map<String, Long>? {
        val tableEra = authority.scope.tableEra
        val key = keyOf(window, tableEra)
        val existing = tables.read(key).getOrElse { return null }
        val known = existing?.let { countsOf(it) ?: return null } ?: remembered[window]
        val counts = known ?: sum() ?: return null
        val conditions =
            listOfNotNull(
                authority.condition(),
                sharedClock.condition,
                Condition(key, existing?.version ?: Condition.ABSENT),
            )
        val written = tables.transact(Transaction(conditions, listOf(write(key, counts))))
        written.onLeft { if (it is TableFailure.Conflict) sharedClock.outdate() }
        val isWritten = written.isRight() && era.current == tableEra
        if (isWritten) remembered[window] = counts
        if (isWritten && known == null) log(window, counts, authority)
        return counts.takeIf { isWritten }
    }

    /** Returns null for a row that can't be read: a sum was written, and another one could differ. */
    private fun countsOf(row: Row): Map<String, Long>? =
        Either
            .catch { RowJson.decode<FrozenWindow>(row.value).counts }
            .onLeft { logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "sum", "row" to row.key.key) }
            .getOrNull()

    private fun log(window: Long, counts: Map<String, Long>, authority: Authority) {
        logger.event(
            LogEvent.WINDOW_FROZEN,
            "window" to window,
            "counts" to counts,
            "era" to authority.scope.tableEra,
            "epoch" to authority.epoch,
        )
    }

    /** Writes the remembered sums in [tableEra], unless they are there; returns false if one could not be written. */
    fun writeAgain(tableEra: Long): Boolean =
        remembered.all { (window, counts) ->
            val key = keyOf(window, tableEra)
            val transaction = Transaction(listOf(Condition(key, Condition.ABSENT)), listOf(write(key, counts)))
            tables.transact(transaction).fold({ it is TableFailure.Conflict }, { true })
        }

    /** Forgets the windows before [window], which are not reported any more. */
    fun forgetBefore(window: Long) {
        remembered.keys.removeIf { it < window }
    }

    private fun write(key: RowKey, counts: Map<String, Long>) = Write(key, RowJson.encode(FrozenWindow(counts)))

    private fun keyOf(window: Long, tableEra: Long): RowKey =
        RowKey(TABLE, windowKey(window) + if (tableEra == 0L) "" else "@$tableEra")

    @Serializable
    private data class FrozenWindow(
        val counts: Map<String, Long>,
    )

    private companion object {
        const val TABLE = "usage-window"
    }
}

package org.medlarhook.entry.directory

import arrow.core.Either
import arrow.core.flatMap
import kotlinx.serialization.json.Json
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write

/** Writes and deletes this entry's row in the entry table, and deletes rows of stopped entries. */
internal class EntryRegistrar(
    private val tables: TableService,
    private val self: EntryRegistration,
) {
    /**
     * Writes the row and deletes the rows of earlier processes at the same address, which have stopped, since this
     * process listens on that port. The operation is idempotent.
     */
    fun register(): Either<TableFailure, Unit> =
        rows().flatMap { rows ->
            val staleRows = rows.filter { it.peerAddress == self.peerAddress && it.entryId != self.entryId }
            val writes = staleRows.map { Write(keyOf(it.entryId), null) } + Write(keyOf(self.entryId), encode(self))
            tables.transact(Transaction(emptyList(), writes)).map { }
        }

    /** Deletes this entry's row, as the last step of a graceful stop. */
    fun deregister(): Either<TableFailure, Unit> = remove(listOf(self.entryId))

    /** Deletes the rows of [entryIds], which have stopped. */
    fun remove(entryIds: List<String>): Either<TableFailure, Unit> =
        tables.transact(Transaction(emptyList(), entryIds.map { Write(keyOf(it), null) })).map { }

    /** Reads the rows of all entries. */
    fun rows(): Either<TableFailure, List<EntryRegistration>> = page("").map { rows -> rows.map { decode(it) } }

    private fun page(afterKey: String): Either<TableFailure, List<Row>> =
        tables.scan(TableNames.ENTRY, afterKey = afterKey).flatMap { rows ->
            val last = rows.lastOrNull()
            if (last == null) Either.Right(rows) else page(last.key.key).map { rows + it }
        }

    private fun keyOf(entryId: String) = RowKey(TableNames.ENTRY, entryId)

    private fun encode(row: EntryRegistration) = JSON.encodeToString(EntryRegistration.serializer(), row)

    private fun decode(row: Row) = JSON.decodeFromString(EntryRegistration.serializer(), row.value)

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}

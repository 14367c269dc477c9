package org.medlarhook.core.directory

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write

/** The log of accepted changes in the tables: a head row, and one row for each version. */
public class DirectoryLog(
    private val tables: TableService,
) {
    /** Reads the head row; its absence means version 0. */
    public fun head(): Either<TableFailure, DirectoryHead> = headRow().map { it.toHead() }

    /** Returns up to [limit] changes above [version], in ascending order. */
    public fun readAfter(
        version: Long,
        limit: Int = PAGE_LIMIT,
    ): Either<TableFailure, List<DirectoryChange>> =
        tables
            .scan(TableNames.DIRECTORY_CHANGE, afterKey = keyOf(version), limit = limit)
            .map { rows -> rows.map { DirectoryJson.decodeChange(it.value) } }

    /** Returns up to [limit] of the newest changes that the log retains, in ascending order. */
    public fun history(limit: Int): Either<TableFailure, List<DirectoryChange>> =
        head().flatMap { readAfter(maxOf(0, it.version - limit), limit) }

    /**
     * Appends [change] if the log ends at the version before it, and returns its version.
     *
     * Appending is idempotent: a change with the same version and nonce is written once.
     */
    public fun append(change: DirectoryChange): Either<AppendFailure, Long> = append(change, mayBeWritten = false)

    /** Retries an append whose outcome is unknown. The outcome stays unknown while the tables cannot be reached. */
    public fun settle(change: DirectoryChange): Either<AppendFailure, Long> = append(change, mayBeWritten = true)

    private fun append(change: DirectoryChange, mayBeWritten: Boolean): Either<AppendFailure, Long> {
        require(change.nonce.isNotEmpty()) {
            "change ${change.version} has an empty nonce, so its row could not be recognised after a lost answer"
        }
        var result: Either<AppendFailure, Long> = AppendFailure.Unavailable("no append was attempted").left()
        var unsettled = mayBeWritten
        repeat(APPEND_ATTEMPTS) {
            val attempt = attempt(change)
            if (attempt is Attempt.Settled) return attempt.result
            unsettled = unsettled || attempt is Attempt.Unsettled
            result = attempt.failure(unsettled).left()
        }
        return result
    }

    private fun attempt(change: DirectoryChange): Attempt {
        val row = headRow().getOrElse { return Attempt.TablesUnreachable }
        val head = row.toHead()
        if (head.version >= change.version) return readBack(change, head)
        if (head.version < change.version - 1) {
            return Attempt.Settled(AppendFailure.Conflict(head.version, emptyList()).left())
        }
        return when (tables.transact(transaction(change, head, row)).leftOrNull()) {
            null -> Attempt.Settled(change.version.right())
            is TableFailure.Conflict -> Attempt.HeadChanged
            is TableFailure.Unavailable -> Attempt.TablesUnreachable
            is TableFailure.OutcomeUnknown -> Attempt.Unsettled
        }
    }

    private fun readBack(change: DirectoryChange, head: DirectoryHead): Attempt {
        val row = tables.read(changeKey(change.version)).getOrElse { return Attempt.TablesUnreachable }
        val written = row?.let { DirectoryJson.decodeChange(it.value) } ?: return Attempt.Unsettled
        if (written.nonce == change.nonce) return Attempt.Settled(change.version.right())
        return conflictWith(change, head)
    }

    private fun conflictWith(change: DirectoryChange, head: DirectoryHead): Attempt =
        readAfter(change.version - 1).fold(
            { Attempt.TablesUnreachable },
            { others -> Attempt.Settled(AppendFailure.Conflict(head.version, others).left()) },
        )

    private fun transaction(change: DirectoryChange, head: DirectoryHead, row: Row?): Transaction {
        val headVersion = row?.version ?: Condition.ABSENT
        return Transaction(
            conditions = listOf(
                Condition(HEAD_KEY, headVersion),
                Condition(changeKey(change.version), Condition.ABSENT),
            ),
            writes = listOf(
                Write(HEAD_KEY, DirectoryJson.encode(head.copy(version = change.version))),
                Write(changeKey(change.version), DirectoryJson.encode(change)),
            ),
        )
    }

    internal fun headRow(): Either<TableFailure, Row?> = tables.read(HEAD_KEY)

    /** Outcome of one attempt to append. */
    private sealed interface Attempt {
        data class Settled(
            val result: Either<AppendFailure, Long>,
        ) : Attempt

        data object HeadChanged : Attempt

        data object TablesUnreachable : Attempt

        data object Unsettled : Attempt
    }

    private fun Attempt.failure(mayBeWritten: Boolean): AppendFailure =
        if (mayBeWritten) {
            AppendFailure.OutcomeUnknown("the answer of the tables to an append was lost; the change may be written")
        } else {
            AppendFailure.Unavailable("the change was not written in $APPEND_ATTEMPTS attempts; the last one: $this")
        }

    public companion object {
        /** Default limit of changes in one read. */
        public const val PAGE_LIMIT: Int = 500

        private const val APPEND_ATTEMPTS = 3
        private const val VERSION_DIGITS = 19

        internal val HEAD_KEY = RowKey(TableNames.DIRECTORY_HEAD, "head")

        internal fun keyOf(version: Long): String = version.toString().padStart(VERSION_DIGITS, '0')

        internal fun changeKey(version: Long) = RowKey(TableNames.DIRECTORY_CHANGE, keyOf(version))

        internal fun Row?.toHead(): DirectoryHead = this?.let { DirectoryJson.decodeHead(it.value) } ?: DirectoryHead()
    }
}

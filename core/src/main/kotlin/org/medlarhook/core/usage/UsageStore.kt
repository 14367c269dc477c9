package org.medlarhook.core.usage

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import org.medlarhook.core.lease.Authority
import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.UsageReport
import org.medlarhook.ports.Write

/** The committed usage as read, with the version of the head row that the next commit replaces. */
internal data class LoadedUsage(
    val usage: CommittedUsage,
    val headVersion: Long,
)

/** Reads and writes the usage rows of one shard. A commit fails if the epoch row or the head row has changed. */
internal class UsageStore(
    shard: String,
    private val settings: UsageSettings,
    private val tables: TableService,
    private val time: TimeSource,
) {
    private val keys = UsageRowKeys(shard)

    fun load(): Either<UsageRefusal, LoadedUsage> =
        either {
            val row = tables.read(keys.head).mapLeft { UsageRefusal.TablesUnavailable }.bind()
            val head =
                row?.let { RowJson.decode<UsageHeadRow>(it.value) }
                    ?: UsageHeadRow(openWindowStartMs = currentWindowStartMs())
            val batches = scan(head).bind()
            ensure(batches.size.toLong() == head.batchCount) { UsageRefusal.Conflict }
            val usage = batches.fold(CommittedUsage(head)) { sum, batch -> sum.plus(batch, head) }
            LoadedUsage(usage, row?.version ?: Condition.ABSENT)
        }

    fun commit(
        authority: Authority,
        loaded: LoadedUsage,
        next: CommittedUsage,
        writes: List<Write>,
        newRows: List<Condition> = emptyList(),
    ): Either<UsageRefusal, LoadedUsage> =
        either {
            ensure(authority.mayAct(time.monotonicMs())) { UsageRefusal.NotInCharge }
            val conditions = listOf(authority.condition(), Condition(keys.head, loaded.headVersion)) + newRows
            val headWrite = Write(keys.head, RowJson.encode(next.head))
            val committed = tables.transact(Transaction(conditions, writes + headWrite)).mapLeft { it.refusal() }.bind()
            LoadedUsage(next, committed.version)
        }

    fun append(authority: Authority, loaded: LoadedUsage, batch: UsageBatchRow): Either<UsageRefusal, LoadedUsage> {
        val head = loaded.usage.head
        val number = head.lastBatch + 1
        if (head.batchCount < settings.batchesBeforeCompaction) {
            val next = loaded.usage.plus(batch, head.copy(lastBatch = number))
            return commit(authority, loaded, next, listOf(Write(keys.batch(number), RowJson.encode(batch))))
        }
        val compacted = loaded.usage.plus(batch, head).compacted(time.wallMs(), settings)
        val next = CommittedUsage(head).plus(compacted, head.copy(firstBatch = number, lastBatch = number))
        val deletes = (head.firstBatch..head.lastBatch).map { Write(keys.batch(it), null) }
        return commit(authority, loaded, next, deletes + Write(keys.batch(number), RowJson.encode(compacted)))
    }

    fun freeze(authority: Authority, loaded: LoadedUsage, report: UsageReport): Either<UsageRefusal, LoadedUsage> {
        val key = keys.window(report.windowStartMs)
        val next = loaded.usage.plus(UsageBatchRow(), loaded.usage.head.copy(openWindowStartMs = report.windowEndMs))
        val write = Write(key, RowJson.encode(report))
        return commit(authority, loaded, next, listOf(write), listOf(Condition(key, Condition.ABSENT)))
    }

    fun markDelivered(authority: Authority, loaded: LoadedUsage): Either<UsageRefusal, LoadedUsage> {
        val head = loaded.usage.head
        val next = loaded.usage.copy(
            head = head.copy(unsentWindowStartMs = head.unsentWindowStartMs + settings.windowMs),
        )
        return commit(authority, loaded, next, emptyList())
    }

    fun frozenWindow(windowStartMs: Long): Either<UsageRefusal, UsageReport> =
        either {
            val row = tables.read(keys.window(windowStartMs)).mapLeft { UsageRefusal.TablesUnavailable }.bind()
            ensure(row != null) { UsageRefusal.Conflict }
            RowJson.decode<UsageReport>(row.value)
        }

    private fun scan(head: UsageHeadRow): Either<UsageRefusal, List<UsageBatchRow>> {
        if (head.batchCount <= 0) return Either.Right(emptyList())
        return tables
            .scan(TableNames.USAGE_BATCH, keys.prefix, keys.beforeBatch(head.firstBatch), head.batchCount.toInt())
            .mapLeft { UsageRefusal.TablesUnavailable }
            .map { rows -> rows.filter { it.isBatch(head) }.map { RowJson.decode(it.value) } }
    }

    private fun Row.isBatch(head: UsageHeadRow): Boolean = key.key <= keys.batch(head.lastBatch).key

    private fun currentWindowStartMs(): Long = settings.windowStart(time.wallMs())

    private fun TableFailure.refusal(): UsageRefusal =
        when (this) {
            is TableFailure.Conflict -> UsageRefusal.Conflict
            is TableFailure.Unavailable -> UsageRefusal.TablesUnavailable
            is TableFailure.OutcomeUnknown -> UsageRefusal.OutcomeUnknown
        }
}

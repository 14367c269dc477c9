package org.medlarhook.entry.claim

import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write

/** Deletes claims that are older than [retentionMs]. Each sweep scans one page of the table. */
internal class ClaimCleaner(
    private val tables: TableService,
    private val codec: ClaimCodec,
    private val retentionMs: Long,
) {
    private var afterKey = ""

    /** Scans the next page and returns the number of claims that were deleted. */
    fun sweep(nowWallMs: Long): Int =
        tables.scan(TableNames.CLAIM, afterKey = afterKey, limit = PAGE_ROWS).fold(
            ifLeft = { 0 },
            ifRight = { rows ->
                afterKey = if (rows.size < PAGE_ROWS) "" else rows.last().key.key
                rows.filter { isExpired(it, nowWallMs) }.count(::delete)
            },
        )

    private fun isExpired(row: Row, nowWallMs: Long): Boolean =
        nowWallMs - codec.record(row).writtenAtMs > retentionMs

    private fun delete(row: Row): Boolean {
        val condition = Condition(row.key, row.version)
        return tables.transact(Transaction(listOf(condition), listOf(Write(row.key, null)))).isRight()
    }

    private companion object {
        const val PAGE_ROWS = 200
    }
}

package org.medlarhook.ports

import arrow.core.Either

/** The platform's transactional table service. Every call may block up to the adapter's timeout. */
public interface TableService {
    /** Reads one row; a missing row is null. */
    public fun read(key: RowKey): Either<TableFailure, Row?>

    /** Reads up to [limit] rows of [table] whose key starts with [prefix] and sorts after [afterKey]. */
    public fun scan(
        table: String,
        prefix: String = "",
        afterKey: String = "",
        limit: Int = DEFAULT_SCAN_LIMIT,
    ): Either<TableFailure, List<Row>>

    /** Carries out [transaction] as a whole or not at all. */
    public fun transact(transaction: Transaction): Either<TableFailure, Committed>

    public companion object {
        /** Rows that a scan returns at most unless told otherwise. */
        public const val DEFAULT_SCAN_LIMIT: Int = 500
    }
}

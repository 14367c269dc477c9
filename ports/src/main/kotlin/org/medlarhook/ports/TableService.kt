package org.medlarhook.ports

import arrow.core.Either

/** The platform's transactional table service. Every call may block for up to the timeout of the implementation. */
public interface TableService {
    /** Reads one row; null if it does not exist. */
    public fun read(key: RowKey): Either<TableFailure, Row?>

    /** Reads up to [limit] rows of [table], in key order, whose key starts with [prefix] and sorts after [afterKey]. */
    public fun scan(
        table: String,
        prefix: String = "",
        afterKey: String = "",
        limit: Int = DEFAULT_SCAN_LIMIT,
    ): Either<TableFailure, List<Row>>

    /** Applies all writes of [transaction] or none. */
    public fun transact(transaction: Transaction): Either<TableFailure, Committed>

    public companion object {
        /** Default limit of the rows that a scan returns. */
        public const val DEFAULT_SCAN_LIMIT: Int = 500
    }
}

package org.medlarhook.core.lease

import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write

/** Purpose of a write of the lease row. */
public enum class LeaseWriteKind {
    TAKE,
    RENEW,
    RELEASE,
}

/**
 * A write of the lease row whose outcome is not known yet.
 *
 * @property firstSentAtMs when the first copy was about to be sent; the duration of the lease starts here.
 * @property held the lease that the process holds while the outcome is unknown, or null.
 */
public data class LeaseWrite(
    val kind: LeaseWriteKind,
    val scope: LeaseScope,
    val row: LeaseRow,
    val expectedLeaseVersion: Long,
    val expectedEpochVersion: Long,
    val firstSentAtMs: Long,
    val held: HeldLease? = null,
) {
    /** Returns the transaction of this write, which is the same for each copy sent. */
    public fun transaction(): Transaction =
        Transaction(
            conditions =
                listOf(
                    Condition(scope.leaseKey, expectedLeaseVersion),
                    Condition(scope.epochKey, expectedEpochVersion),
                ),
            writes = listOf(Write(scope.leaseKey, RowJson.encode(row))) + epochWrites(),
        )

    private fun epochWrites(): List<Write> =
        if (kind == LeaseWriteKind.TAKE) {
            listOf(Write(scope.epochKey, RowJson.encode(EpochRow(row.epoch, row.holder))))
        } else {
            emptyList()
        }
}

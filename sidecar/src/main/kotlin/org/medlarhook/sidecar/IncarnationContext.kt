package org.medlarhook.sidecar

import org.medlarhook.core.attempt.SharedDispatcher
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.sidecar.attempt.AttemptRunner
import org.medlarhook.sidecar.receipt.ReceiptLog

/**
 * What a registered sidecar serves with.
 *
 * @property receipts the log of this incarnation, to which new attempts write.
 * @property earlierReceipts the logs of earlier incarnations of the same process.
 */
internal data class IncarnationContext(
    val incarnation: Long,
    val dispatcher: SharedDispatcher<ServiceAnswer>,
    val runner: AttemptRunner,
    val receipts: ReceiptLog,
    val earlierReceipts: List<ReceiptLog> = emptyList(),
) {
    /** All logs of this process. */
    val receiptLogs: List<ReceiptLog> get() = earlierReceipts + receipts

    /** The same under a higher [next] incarnation with the log [fresh]. */
    fun renewed(next: Long, fresh: ReceiptLog): IncarnationContext =
        copy(incarnation = next, receipts = fresh, earlierReceipts = receiptLogs.takeLast(MAX_EARLIER_LOGS))

    private companion object {
        const val MAX_EARLIER_LOGS = 2
    }
}

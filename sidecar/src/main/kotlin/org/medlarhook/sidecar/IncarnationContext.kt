package org.medlarhook.sidecar

import org.medlarhook.core.attempt.SharedDispatcher
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.sidecar.attempt.AttemptRunner
import org.medlarhook.sidecar.receipt.ReceiptLog

/**
 * The sidecar's current incarnation and the components that serve its attempts.
 *
 * @property receipts receipt log of this incarnation; new attempts write to it.
 * @property earlierReceipts receipt logs of earlier incarnations of the same process, oldest first.
 */
internal data class IncarnationContext(
    val incarnation: Long,
    val dispatcher: SharedDispatcher<ServiceAnswer>,
    val runner: AttemptRunner,
    val receipts: ReceiptLog,
    val earlierReceipts: List<ReceiptLog> = emptyList(),
) {
    /** All receipt logs that this process holds, oldest first. */
    val receiptLogs: List<ReceiptLog> get() = earlierReceipts + receipts

    /** Returns this context under the higher incarnation [next], with the empty log [nextReceipts]. */
    fun renewed(next: Long, nextReceipts: ReceiptLog): IncarnationContext =
        copy(incarnation = next, receipts = nextReceipts, earlierReceipts = receiptLogs.takeLast(MAX_EARLIER_LOGS))

    private companion object {
        const val MAX_EARLIER_LOGS = 2
    }
}

package org.medlarhook.sidecar

import org.medlarhook.core.attempt.SharedDispatcher
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.sidecar.attempt.AttemptRunner
import org.medlarhook.sidecar.control.OrderLoop
import org.medlarhook.sidecar.receipt.ReceiptLog

/** What a registered sidecar serves with; all of it belongs to one incarnation. */
internal class Serving(
    val incarnation: Long,
    val dispatcher: SharedDispatcher<ServiceAnswer>,
    val runner: AttemptRunner,
    val receipts: ReceiptLog,
    val orders: OrderLoop,
)

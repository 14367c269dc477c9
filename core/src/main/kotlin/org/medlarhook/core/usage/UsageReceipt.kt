package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/**
 * The usage of one attempt, for billing.
 *
 * @property sequence numbers the receipts of one incarnation of a sidecar from 1, without gaps.
 */
@Serializable
public data class UsageReceipt(
    val source: ReceiptSource,
    val sequence: Long,
    val workspace: String,
    val resource: String,
    val requestId: String = "",
    val attemptId: String = "",
    val promptTokens: Long = 0,
    val outputTokens: Long = 0,
    val serviceCalls: Long = 0,
    val finishedAtMs: Long = 0,
)

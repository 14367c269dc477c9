package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/** One bill for one attempt. [sequence] is numbered from 1 per incarnation of a sidecar, without gaps. */
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

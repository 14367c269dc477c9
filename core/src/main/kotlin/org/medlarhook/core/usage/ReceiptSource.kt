package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/** The source of receipts: one start of the sidecar of one upstream. */
@Serializable
public data class ReceiptSource(
    val upstreamId: String,
    val incarnation: Long,
)

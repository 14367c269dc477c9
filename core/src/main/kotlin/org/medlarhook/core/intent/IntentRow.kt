package org.medlarhook.core.intent

import kotlinx.serialization.Serializable
import org.medlarhook.ports.UpstreamOrder

/**
 * The newest start or stop of upstreams in one data centre.
 *
 * @property sequence grows by one with each intent of the data centre and is never reset.
 * @property order the order that each call of the platform sends, unchanged.
 * @property nonce unique for each intent.
 */
@Serializable
public data class IntentRow(
    val sequence: Long,
    val order: UpstreamOrder,
    val nonce: String,
    val status: IntentStatus = IntentStatus.OPEN,
)

package org.medlarhook.core.order

import kotlinx.serialization.Serializable

/**
 * The newest order for one upstream.
 *
 * @property generation grows by one with each order for the upstream and is never reset.
 * @property epoch epoch of the writer's lease.
 * @property incarnation incarnation of the sidecar that the order is for.
 * @property nonce unique for each order; identifies the row of a write whose answer was lost.
 * @property detail why the order failed, for operators.
 */
@Serializable
public data class OrderRow(
    val generation: Long,
    val epoch: Long,
    val incarnation: Long,
    val nonce: String,
    val action: OrderAction,
    val status: OrderStatus = OrderStatus.ISSUED,
    val detail: String = "",
) {
    /** True if the next generation may be written. */
    public val isCompleted: Boolean get() = status != OrderStatus.ISSUED
}

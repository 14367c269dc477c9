package org.medlarhook.core.order

import kotlinx.serialization.Serializable

/**
 * The newest order for one upstream.
 *
 * @property generation grows by one with each order for the upstream and never starts again.
 * @property epoch of the writer's lease.
 * @property incarnation of the sidecar that the order is for.
 * @property nonce differs with each order.
 * @property detail why it failed, for people.
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

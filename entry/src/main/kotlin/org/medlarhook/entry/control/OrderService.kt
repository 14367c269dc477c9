package org.medlarhook.entry.control

import arrow.core.Either
import arrow.core.left
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.lease.Authority
import org.medlarhook.core.order.OrderAction
import org.medlarhook.core.order.OrderIssuer
import org.medlarhook.core.order.OrderRefusal
import org.medlarhook.core.order.OrderRow
import org.medlarhook.protocol.OrderHint
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import java.util.UUID

/** Issues orders to the upstreams of one data centre while this entry holds the lease on them. */
internal class OrderService(
    private val issuer: OrderIssuer,
    private val channels: SidecarChannels,
    private val authority: () -> Authority?,
) {
    private val logger = KotlinLogging.logger {}

    /** Writes the order and sends a hint to the sidecar, which marks the order row once the order is completed. */
    fun issue(upstreamId: String, action: OrderAction): Either<OrderRefusal, OrderRow> {
        val currentAuthority = authority() ?: return OrderRefusal.NotInCharge.left()
        return issuer.issue(currentAuthority, upstreamId, action, UUID.randomUUID().toString()).onRight { row ->
            logger.event(LogEvent.ORDER_ISSUED, "upstream" to upstreamId, "generation" to row.generation)
            sendHint(upstreamId, row.generation)
        }
    }

    /** Sends a hint of the new order. A lost hint only delays the order, because the sidecar polls the row. */
    private fun sendHint(upstreamId: String, generation: Long) {
        val message =
            OrderHint
                .newBuilder()
                .setUpstreamId(upstreamId)
                .setGeneration(generation)
                .build()
        channels.find(upstreamId)?.stub(HINT_TIMEOUT_MS)?.notifyOrder(message)
    }

    private companion object {
        const val HINT_TIMEOUT_MS = 2_000L
    }
}

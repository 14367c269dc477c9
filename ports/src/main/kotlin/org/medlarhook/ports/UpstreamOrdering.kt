package org.medlarhook.ports

import arrow.core.Either
import kotlinx.serialization.Serializable

/** The platform's interface for starting and stopping the upstreams of a data centre. */
public interface UpstreamOrdering {
    /** Issues [order]; a retry with the same [UpstreamOrder.idempotencyKey] has no further effect. */
    public fun order(order: UpstreamOrder): Either<TableFailure, Unit>
}

/**
 * An order to start or stop upstreams in one data centre.
 *
 * @property idempotencyKey identifies the order over its retries.
 * @property targetCount number of upstreams of [kind] that run once the order is carried out.
 * @property stopIds the upstreams to stop; they are drained already.
 * @property epoch epoch of the lease under which the order was issued.
 */
@Serializable
public data class UpstreamOrder(
    val idempotencyKey: String,
    val dataCentre: String,
    val kind: String,
    val targetCount: Int,
    val stopIds: List<String>,
    val epoch: Long,
)

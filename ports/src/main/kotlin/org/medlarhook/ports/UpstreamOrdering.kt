package org.medlarhook.ports

import arrow.core.Either
import kotlinx.serialization.Serializable

/** The platform's interface that orders upstreams by data centre. */
public interface UpstreamOrdering {
    /** Asks for a change; repeating an [UpstreamOrder.idempotencyKey] has no further effect. */
    public fun order(order: UpstreamOrder): Either<TableFailure, Unit>
}

/**
 * A start or stop of upstreams in one data centre.
 *
 * @property targetCount how many upstreams of [kind] shall run after it.
 * @property stopIds the upstreams to stop, already drained.
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

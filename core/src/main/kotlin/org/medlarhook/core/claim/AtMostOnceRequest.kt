package org.medlarhook.core.claim

/**
 * A call of a plain service.
 *
 * @property keyed true if the caller sent an idempotency key.
 * @property digestHex digest over method, path and body.
 * @property repeatable true if the route is declared idempotent: such a call needs no claim and may run twice.
 */
public data class AtMostOnceRequest(
    val deadlineAtMs: Long,
    val digestHex: String = "",
    val keyed: Boolean = false,
    val repeatable: Boolean = false,
)

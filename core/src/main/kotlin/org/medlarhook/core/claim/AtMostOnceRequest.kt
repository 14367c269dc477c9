package org.medlarhook.core.claim

/**
 * A call of a plain service.
 *
 * @property hasIdempotencyKey true if the caller sent an idempotency key.
 * @property digestHex digest of method, path and body, in hexadecimal.
 * @property idempotent true if the route is declared idempotent: such a call needs no claim and may run twice.
 */
public data class AtMostOnceRequest(
    val deadlineAtMs: Long,
    val digestHex: String = "",
    val hasIdempotencyKey: Boolean = false,
    val idempotent: Boolean = false,
)

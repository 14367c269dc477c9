package org.medlarhook.standins.service

import kotlinx.serialization.Serializable

/**
 * Faults of the booking service. `POST /faults` replaces them as a whole.
 *
 * @property delayBeforeMs delay before the booking is executed.
 * @property delayAfterMs delay between execution and response.
 * @property dropBefore closes the connection without executing the booking.
 * @property dropAfter executes the booking and closes the connection without a response.
 * @property hang accepts requests without ever answering them.
 * @property retryAtOnce executes the booking and answers 503 with `Retry-After: 0`.
 */
@Serializable
internal data class ServiceFaults(
    val delayBeforeMs: Long = 0,
    val delayAfterMs: Long = 0,
    val dropBefore: Boolean = false,
    val dropAfter: Boolean = false,
    val hang: Boolean = false,
    val retryAtOnce: Boolean = false,
)

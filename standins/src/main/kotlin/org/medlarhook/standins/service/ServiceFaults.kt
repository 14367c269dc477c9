package org.medlarhook.standins.service

import kotlinx.serialization.Serializable

/**
 * Faults of the booking service, replaced as a whole by `POST /faults`.
 *
 * @property dropBefore closes the connection without executing.
 * @property dropAfter closes the connection after executing.
 * @property hang accepts and never answers.
 * @property retryAtOnce answers 503 with `Retry-After: 0` after executing.
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

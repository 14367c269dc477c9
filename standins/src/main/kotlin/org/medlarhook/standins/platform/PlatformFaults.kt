package org.medlarhook.standins.platform

import kotlinx.serialization.Serializable

/**
 * Faults of the platform stand-in. They apply to all calls until the next `POST /faults`, which replaces them
 * as a whole.
 *
 * @property unavailable refuses each call with status 503 and without effect.
 * @property delayMs delay before each call is handled.
 * @property loseAnswers executes each call, but answers 504 with an empty body in place of the result.
 */
@Serializable
internal data class PlatformFaults(
    val unavailable: Boolean = false,
    val delayMs: Long = 0,
    val loseAnswers: Boolean = false,
)

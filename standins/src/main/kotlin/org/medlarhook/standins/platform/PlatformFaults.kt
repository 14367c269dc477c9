package org.medlarhook.standins.platform

import kotlinx.serialization.Serializable

/**
 * What goes wrong with all calls until it is changed.
 *
 * @property unavailable every call is refused, and nothing happens.
 * @property delayMs each call waits this long first.
 * @property loseAnswers calls take effect, and the caller gets no usable answer.
 */
@Serializable
internal data class PlatformFaults(
    val unavailable: Boolean = false,
    val delayMs: Long = 0,
    val loseAnswers: Boolean = false,
)

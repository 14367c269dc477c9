package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable

/**
 * Time limits of a graceful shutdown.
 *
 * @property balancerWaitMs time after `/readyz` has begun to fail during which new requests are still accepted if their
 * deadlines lie before the end of both times.
 * @property finishLimitMs longest wait for open requests to finish after that.
 */
@Serializable
public data class ShutdownSettings(
    val balancerWaitMs: Long = 2_000,
    val finishLimitMs: Long = 60_000,
)

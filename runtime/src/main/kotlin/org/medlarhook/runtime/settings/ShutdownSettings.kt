package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable

/**
 * The order of a graceful shutdown.
 *
 * @property balancerWaitMs how long new requests are still taken after `/readyz` has begun to fail.
 * @property finishLimitMs how long open requests may take to finish after that.
 */
@Serializable
public data class ShutdownSettings(
    val balancerWaitMs: Long = 2_000,
    val finishLimitMs: Long = 60_000,
)

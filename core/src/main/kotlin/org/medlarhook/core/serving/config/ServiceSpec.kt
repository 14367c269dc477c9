package org.medlarhook.core.serving.config

/**
 * A service to which routes send requests. A plain service has no model engines.
 *
 * @property connectionCap the most connections that one upstream accepts from all clients together.
 * @property engine the capacity of the service's model engines, or null for a plain service.
 */
public data class ServiceSpec(
    val name: String,
    val connectionCap: Int,
    val engine: EngineSpec?,
)

/**
 * The capacity of each model engine of a service.
 *
 * @property slots batch slots: the most requests that run at the same time.
 * @property cacheTokens the KV cache's capacity in tokens, for running requests and cached prefixes together.
 * @property tokensPerEvent output tokens in one event of a stream.
 * @property cacheBytesPerToken bytes of KV cache per token that a copy to another engine transfers.
 * @property linkBytesPerMs throughput of a copy between two engines of one data centre.
 */
public data class EngineSpec(
    val slots: Int,
    val cacheTokens: Long,
    val tokensPerEvent: Int,
    val cacheBytesPerToken: Long,
    val linkBytesPerMs: Double,
)

package org.medlarhook.core.serving.config

/**
 * A service behind the routes.
 *
 * @property connectionCap connections that one upstream accepts from all callers together.
 * @property engine what the service's model engines can do, or null for a plain service.
 */
public data class ServiceSpec(
    val name: String,
    val connectionCap: Int,
    val engine: EngineSpec?,
)

/**
 * The model engines of a service.
 *
 * @property slots requests that run at once.
 * @property cacheTokens memory for running requests and cached prompt parts.
 * @property tokensPerEvent tokens that one event of a stream carries.
 * @property cacheBytesPerToken size of a token's cache when it is copied to another engine.
 * @property linkBytesPerMs speed of a copy between two engines of a data centre.
 */
public data class EngineSpec(
    val slots: Int,
    val cacheTokens: Long,
    val tokensPerEvent: Int,
    val cacheBytesPerToken: Long,
    val linkBytesPerMs: Double,
)

package org.medlarhook.core.serving.config

import kotlin.random.Random

/**
 * A route of the configuration.
 *
 * @property prefix the path prefix; begins and ends with a slash.
 * @property timeoutMs the longest time until a request gets its final answer.
 * @property objectiveMs the latency objective: time to the answer, or to the first event of a stream.
 * @property priority 0 is the most urgent.
 * @property targets the services that share the route's requests by weight.
 * @property maxAttempts the most upstreams to which one request may be sent.
 * @property isAnonymous true if requests need no API key.
 * @property isResumable true if a broken stream may be resumed at another upstream.
 */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: CallKind,
    val timeoutMs: Long,
    val objectiveMs: Long,
    val priority: Int,
    val targets: List<WeightedService>,
    val maxAttempts: Int,
    val isAnonymous: Boolean,
    val isResumable: Boolean,
) {
    /** True if a request that may have run may be sent to another upstream. */
    val mayRunAgain: Boolean get() = kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && isResumable)

    /** Draws one of the services by weight. */
    public fun drawService(random: Random): String {
        if (targets.size == 1) return targets[0].service
        var point = random.nextInt(targets.sumOf { it.weight }.coerceAtLeast(1))
        return targets.firstOrNull { target -> (point < target.weight).also { point -= target.weight } }?.service
            ?: targets.last().service
    }
}

/** A service and its share of a route's requests. */
public data class WeightedService(
    val service: String,
    val weight: Int,
)

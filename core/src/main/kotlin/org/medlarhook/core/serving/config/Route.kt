package org.medlarhook.core.serving.config

/**
 * A route in force.
 *
 * @property prefix begins and ends with a slash.
 * @property timeoutMs the longest time that a request is kept waiting.
 * @property objectiveMs the time to the answer, or to a stream's first event, that is aimed at.
 * @property priority 0 is the most urgent.
 * @property targets the services that share the route's requests by weight.
 * @property maxAttempts the number of upstreams to which one request may be sent.
 * @property isAnonymous true if no key is needed.
 * @property isResumable true if a broken stream may go on at another upstream.
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
    /** True if a request that may have run can be sent again. */
    val mayRunAgain: Boolean get() = kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && isResumable)
}

/** A service and its share of a route's requests. */
public data class WeightedService(
    val service: String,
    val weight: Int,
)

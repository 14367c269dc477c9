package org.medlarhook.core.routing

/**
 * A request that needs an upstream.
 *
 * @property work the estimated work with nothing in a cache.
 * @property prefixHash identifies a shared start of the prompt; null if there is none.
 * @property prefixTokens length of that start.
 * @property bodyBytes what goes over the link.
 * @property excluded upstreams that earlier attempts of the request have used.
 */
public data class RouteRequest(
    val model: ModelRef,
    val work: WorkTokens,
    val phase: WorkPhase = WorkPhase.WHOLE,
    val prefixHash: Long? = null,
    val prefixTokens: Long = 0,
    val bodyBytes: Long = 0,
    val deadlineMs: Long,
    val excluded: Set<String> = emptySet(),
)

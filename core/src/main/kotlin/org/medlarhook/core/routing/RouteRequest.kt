package org.medlarhook.core.routing

/**
 * The attributes of a request by which an upstream is chosen for it.
 *
 * @property work estimated work with an empty prefix cache.
 * @property phase the phases of the generation that the attempt asks for.
 * @property prefixHash identifies a prompt prefix shared with other requests; null if there is none.
 * @property prefixTokens length of the shared prefix.
 * @property bodyBytes size of the body sent over the link.
 * @property excluded upstreams used by earlier attempts of the request.
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

package org.medlarhook.core.serving.second

/**
 * Requests that should take about as long as each other.
 *
 * @property size the binary order of magnitude of the tokens to prefill; 0 for a plain call.
 */
public data class RequestClass(
    val service: String,
    val route: String,
    val size: Int,
) {
    public companion object {
        /** The class of requests on [route] of which [tokens] are to be prefilled. */
        public fun of(service: String, route: String, tokens: Int): RequestClass =
            RequestClass(service, route, Int.SIZE_BITS - tokens.coerceAtLeast(0).countLeadingZeroBits())
    }
}

package org.medlarhook.core.serving.second

/**
 * Requests that should take about as long as each other.
 *
 * @property size the binary order of magnitude of the tokens to prefill, or of the body of a plain call.
 */
public data class RequestClass(
    val service: String,
    val route: String,
    val size: Int,
) {
    public companion object {
        /** The class of requests on [route] that have [size] tokens to prefill, or units of a body. */
        public fun of(service: String, route: String, size: Int): RequestClass =
            RequestClass(service, route, Int.SIZE_BITS - size.coerceAtLeast(0).countLeadingZeroBits())
    }
}

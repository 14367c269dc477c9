package org.medlarhook.core.routing

/**
 * The network path from an entry to an upstream.
 *
 * @property latencyMs one-way latency.
 * @property costPerMb cost of sending one megabyte (10^6 bytes), in the cost units of the site.
 */
public data class Link(
    val latencyMs: Double,
    val costPerMb: Double = 0.0,
) {
    /** The cost of sending [bytes]. */
    public fun cost(bytes: Long): Double = costPerMb * bytes / BYTES_PER_MB

    private companion object {
        const val BYTES_PER_MB = 1_000_000.0
    }
}

package org.medlarhook.core.routing

/**
 * The way from an entry to an upstream.
 *
 * @property latencyMs one way.
 * @property costPerMb price of a megabyte sent, in the units that a site uses for its costs.
 */
public data class Link(
    val latencyMs: Double,
    val costPerMb: Double = 0.0,
) {
    /** The price of [bytes]. */
    public fun cost(bytes: Long): Double = costPerMb * bytes / BYTES_PER_MB

    private companion object {
        const val BYTES_PER_MB = 1_000_000.0
    }
}

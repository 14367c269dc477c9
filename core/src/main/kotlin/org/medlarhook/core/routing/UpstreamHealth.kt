package org.medlarhook.core.routing

/**
 * Whether an upstream may be used.
 *
 * @property ejected true while it is kept out because of its failures.
 * @property admittedShare the share of its usual load that it may take, below 1 during slow start.
 */
public data class UpstreamHealth(
    val ejected: Boolean = false,
    val admittedShare: Double = 1.0,
) {
    public companion object {
        /** A healthy upstream past its slow start. */
        public val GOOD: UpstreamHealth = UpstreamHealth()
    }
}

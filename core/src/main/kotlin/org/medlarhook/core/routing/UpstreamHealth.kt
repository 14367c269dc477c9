package org.medlarhook.core.routing

/**
 * Whether an upstream may be used, and for how much load.
 *
 * @property ejected true while the upstream is excluded because of its failures.
 * @property admittedShare share of its usual load that the upstream may receive; below 1 during slow start.
 */
public data class UpstreamHealth(
    val ejected: Boolean = false,
    val admittedShare: Double = 1.0,
) {
    public companion object {
        /** An upstream that is neither ejected nor in slow start. */
        public val GOOD: UpstreamHealth = UpstreamHealth()
    }
}

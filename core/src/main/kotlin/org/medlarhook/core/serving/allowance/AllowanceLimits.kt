package org.medlarhook.core.serving.allowance

import org.medlarhook.core.serving.config.Allowance

/**
 * The token bucket of a workspace, of all processes together.
 *
 * @property perS units that come in each second.
 * @property capacity the most units that it holds.
 */
public data class AllowanceLimits(
    val perS: Double,
    val capacity: Double,
) {
    public companion object {
        /** The bucket of [allowance], which part of the slack of [bounds] enlarges. */
        public fun of(allowance: Allowance, bounds: AllowanceBounds): AllowanceLimits =
            AllowanceLimits(
                perS = allowance.perS,
                capacity =
                    maxOf(allowance.burst + bounds.slack * RESERVE_SHARE, allowance.perS * MIN_CAPACITY_S),
            )

        /**
         * Share of the slack that is given out: single requests that are large beside the burst need it. The rest is
         * for requests that several processes admit before they know of one another.
         */
        private const val RESERVE_SHARE = 1.0 / 3

        /** A smaller bucket overflows between two reports of a process. */
        private const val MIN_CAPACITY_S = 0.4
    }
}

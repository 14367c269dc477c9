package org.medlarhook.core.routing

import kotlin.random.Random

/** The routing policies by the names that settings use. */
public enum class RoutingPolicyName(
    public val settingsName: String,
) {
    TOKEN_WORK("token-work"),
    ROUND_ROBIN("round-robin"),
    LEAST_OUTSTANDING("least-outstanding"),
    TWO_CHOICES("two-choices"),
    ;

    /** Makes the policy; [localRegion] is the region of the entry. */
    public fun create(random: Random, localRegion: String): RoutingPolicy =
        when (this) {
            TOKEN_WORK -> TokenWorkPolicy(random, localRegion)
            ROUND_ROBIN -> RoundRobinPolicy()
            LEAST_OUTSTANDING -> LeastOutstandingPolicy()
            TWO_CHOICES -> TwoChoicesPolicy(random)
        }

    public companion object {
        /** Finds a policy by its name in settings. */
        public fun of(settingsName: String): RoutingPolicyName? = entries.find { it.settingsName == settingsName }
    }
}

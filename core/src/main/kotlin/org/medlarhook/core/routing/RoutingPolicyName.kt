package org.medlarhook.core.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.random.Random

/** The routing policies, with the names used in settings. */
@Serializable
@SerialName("routing-policy")
public enum class RoutingPolicyName {
    @SerialName("token-work")
    TOKEN_WORK,

    @SerialName("round-robin")
    ROUND_ROBIN,

    @SerialName("least-outstanding")
    LEAST_OUTSTANDING,

    @SerialName("two-choices")
    TWO_CHOICES,
    ;

    /** Creates the policy for an entry in [localRegion]. */
    public fun create(random: Random, localRegion: String): RoutingPolicy =
        when (this) {
            TOKEN_WORK -> TokenWorkPolicy(random, localRegion)
            ROUND_ROBIN -> RoundRobinPolicy()
            LEAST_OUTSTANDING -> LeastOutstandingPolicy()
            TWO_CHOICES -> TwoChoicesPolicy(random)
        }
}

package org.medlarhook.loadtool.policy

import org.medlarhook.core.routing.RoutingPolicyName

/** How engines get their roles. */
internal enum class RoleMode {
    MIXED,
    STATIC_SPLIT,
    PLANNED,
}

/** The decisions that one run uses. [knowing] stands for exact state and a known trace. */
internal data class Bundle(
    val name: String,
    val routing: RoutingPolicyName,
    val admission: Boolean = false,
    val fairQueue: Boolean = false,
    val roles: RoleMode = RoleMode.MIXED,
    val retryBudget: Boolean = false,
    val ejection: Boolean = false,
    val affinity: Boolean = true,
    val knowing: Boolean = false,
) {
    companion object {
        private val MAIN =
            Bundle(
                name = "medlarhook",
                routing = RoutingPolicyName.TOKEN_WORK,
                admission = true,
                fairQueue = true,
                roles = RoleMode.PLANNED,
                retryBudget = true,
                ejection = true,
            )

        /** Baselines, the main policy, the main policy without one part each, and the knowing reference. */
        val ALL: List<Bundle> =
            listOf(
                Bundle("round-robin", RoutingPolicyName.ROUND_ROBIN),
                Bundle("least-outstanding", RoutingPolicyName.LEAST_OUTSTANDING),
                Bundle("two-choices", RoutingPolicyName.TWO_CHOICES),
                Bundle("static-split", RoutingPolicyName.LEAST_OUTSTANDING, roles = RoleMode.STATIC_SPLIT),
                Bundle("mixed-admission", RoutingPolicyName.LEAST_OUTSTANDING, admission = true),
                Bundle(
                    name = "split-admission",
                    routing = RoutingPolicyName.LEAST_OUTSTANDING,
                    admission = true,
                    roles = RoleMode.STATIC_SPLIT,
                ),
                MAIN,
                MAIN.copy(name = "without-affinity", affinity = false),
                MAIN.copy(name = "without-admission", admission = false),
                MAIN.copy(name = "without-fair-queue", fairQueue = false),
                MAIN.copy(name = "with-mixed-roles", roles = RoleMode.MIXED),
                MAIN.copy(name = "with-static-roles", roles = RoleMode.STATIC_SPLIT),
                MAIN.copy(name = "without-ejection", ejection = false),
                MAIN.copy(name = "with-least-out", routing = RoutingPolicyName.LEAST_OUTSTANDING),
                MAIN.copy(name = "knowing", knowing = true),
            )
    }
}

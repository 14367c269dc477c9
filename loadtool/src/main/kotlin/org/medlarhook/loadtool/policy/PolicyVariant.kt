package org.medlarhook.loadtool.policy

import org.medlarhook.core.routing.RoutingPolicyName

/** How engines are assigned to prefill and decode. */
internal enum class RoleMode {
    MIXED,
    STATIC_SPLIT,
    PLANNED,
}

/**
 * A combination of decision functions to compare: a baseline, the main policy, or the main policy with one part
 * changed.
 *
 * @property fairQueue sidecars share an engine between workspaces by weight; else they queue first in, first out.
 * @property retryBudget retries are limited to a share of the requests; else only the attempts of each request are.
 * @property ejection entries eject engines whose attempts fail.
 * @property affinity routing considers prompt prefixes that requests share.
 * @property usesOracle routing uses the exact state of all engines, and the role planner the arrival rates of the
 * scenario.
 */
internal data class PolicyVariant(
    val name: String,
    val routing: RoutingPolicyName,
    val admission: Boolean = false,
    val fairQueue: Boolean = false,
    val roles: RoleMode = RoleMode.MIXED,
    val retryBudget: Boolean = false,
    val ejection: Boolean = false,
    val affinity: Boolean = true,
    val usesOracle: Boolean = false,
) {
    companion object {
        private val MAIN =
            PolicyVariant(
                name = "medlarhook",
                routing = RoutingPolicyName.TOKEN_WORK,
                admission = true,
                fairQueue = true,
                roles = RoleMode.PLANNED,
                retryBudget = true,
                ejection = true,
            )

        /** The baselines, the main policy, its variants with one part changed, and the reference with exact state. */
        val ALL: List<PolicyVariant> =
            listOf(
                PolicyVariant("round-robin", RoutingPolicyName.ROUND_ROBIN),
                PolicyVariant("least-outstanding", RoutingPolicyName.LEAST_OUTSTANDING),
                PolicyVariant("two-choices", RoutingPolicyName.TWO_CHOICES),
                PolicyVariant("static-split", RoutingPolicyName.LEAST_OUTSTANDING, roles = RoleMode.STATIC_SPLIT),
                PolicyVariant("mixed-admission", RoutingPolicyName.LEAST_OUTSTANDING, admission = true),
                PolicyVariant(
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
                MAIN.copy(name = "knowing", usesOracle = true),
            )
    }
}

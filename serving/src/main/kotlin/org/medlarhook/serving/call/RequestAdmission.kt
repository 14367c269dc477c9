package org.medlarhook.serving.call

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.serving.config.Route
import org.medlarhook.core.serving.config.ServingConfig
import org.medlarhook.core.serving.config.Workspace
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.refuse.RetryAfterPolicy
import org.medlarhook.core.serving.shutdown.ShutdownAdmission
import kotlin.random.Random

/** Admits a request or refuses it, by its route, its key, the shutdown of the process and the workspace's allowance. */
internal class RequestAdmission(
    private val serving: ServingLoop,
    private val random: Random,
    private val retryAfterPolicy: RetryAfterPolicy,
) {
    /** Decides on a request that arrived at [arrivedAtMs]. */
    fun decide(call: CallerCall, arrivedAtMs: Long): Admission {
        val current = serving.config ?: return Admission.Refused(ResultCode.NO_CONFIG, RETRY_WITHOUT_CONFIG_MS)
        val route = current.routes.find(call.host, call.path) ?: return Admission.Refused(ResultCode.NO_ROUTE, null)
        val atMs = serving.nowMs()
        val workspace = workspaceOf(call, route, current, atMs).getOrElse { return it }
        val waitMs = minOf(call.remainingMs ?: route.timeoutMs, route.timeoutMs)
        val service = route.drawService(random)
        serving.retryBudgets.requested(service, atMs)
        val demand =
            Demand(
                route = route,
                service = service,
                generation = call.generation,
                workspace = workspace?.name,
                arrivedAtMs = arrivedAtMs,
                deadlineAtMs = arrivedAtMs + waitMs,
                priority = workspace?.priority ?: route.priority,
                engine = current.services[service]?.engine,
            )
        return refusalAtShutdown(demand, atMs) ?: refusalOverAllowance(call, workspace) ?: Admission.Admitted(demand)
    }

    /** The workspace that holds the key of [call], null where no key is needed, or the refusal of the key. */
    private fun workspaceOf(
        call: CallerCall,
        route: Route,
        current: ServingConfig,
        atMs: Long,
    ): Either<Admission.Refused, Workspace?> {
        val workspaceByKey = current.workspaceByKey?.takeUnless { route.isAnonymous } ?: return null.right()
        serving.observeClocks()
        val key = call.apiKey
        val workspace = workspaceByKey[key]
        return when {
            key == null -> Admission.Refused(ResultCode.KEY_MISSING, null).left()
            !serving.configFreshness.mayAccept(atMs) ->
                Admission.Refused(ResultCode.AUTHORITY_UNCERTAIN, RETRY_MS).left()
            workspace == null -> Admission.Refused(ResultCode.KEY_INVALID, null).left()
            else -> workspace.right()
        }
    }

    private fun refusalAtShutdown(demand: Demand, nowMs: Long): Admission.Refused? {
        val window = serving.shutdown ?: return null
        if (serving.endsBeforeShutdown(demand, nowMs)) return null
        val retryAfterMs =
            if (ShutdownAdmission.isBalancerInformed(window, nowMs)) {
                retryAfterPolicy.retryAfterMs(
                    demand.deadlineAtMs - nowMs,
                    (window.endsAtMs - nowMs).coerceAtLeast(0).toDouble(),
                )
            } else {
                0
            }
        return Admission.Refused(ResultCode.DRAINING, retryAfterMs)
    }

    /** Comes last, because it withdraws the request from the allowance. */
    private fun refusalOverAllowance(call: CallerCall, workspace: Workspace?): Admission.Refused? {
        val retryAfterMs = workspace?.let { serving.allowances.withdraw(it, call.generation) } ?: return null
        return Admission.Refused(ResultCode.WORKSPACE_LIMIT, retryAfterMs)
    }

    private companion object {
        /** A process that has just started has read its configuration within this time. */
        const val RETRY_WITHOUT_CONFIG_MS = 300L

        /** For a stale configuration: a new connection may reach a process whose configuration is fresh. */
        const val RETRY_MS = 100L
    }
}

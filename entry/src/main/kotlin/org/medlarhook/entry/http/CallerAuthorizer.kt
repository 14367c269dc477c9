package org.medlarhook.entry.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.ServiceRoute
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.entry.directory.DirectoryView

/** Authenticates callers and checks which models, services and routes they may use. */
internal class CallerAuthorizer(
    private val directory: DirectoryView,
) {
    /** Returns the bearer key in an `Authorization` header, or null. */
    fun presentedKey(authorization: String?): String? =
        authorization
            ?.takeIf { it.startsWith(BEARER, ignoreCase = true) }
            ?.substring(BEARER.length)
            ?.trim()
            ?.takeIf { it.isNotEmpty() }

    /** Returns the workspace of [key], or why the key is refused at [nowMs]. */
    fun workspace(key: String?, nowMs: Long): Either<Failure, Workspace> =
        if (key == null) refused(ResultCode.KEY_MISSING).left() else directory.authenticate(key, nowMs)

    /** Whether [workspace] may use [model]. */
    fun mayUseModel(workspace: Workspace, model: String): Boolean =
        workspace.models.isEmpty() || model in workspace.models

    /** Returns the declared route that matches [path] and [method], or why the call is refused. */
    fun route(path: SafePath, method: String): Either<Failure, MatchedRoute> {
        val service = directory.service(path.service) ?: return refused(ResultCode.UNKNOWN_SERVICE).left()
        val route = service.routes.firstOrNull { it.matches(method, path.decoded) }
        return route?.let { MatchedRoute(service, it).right() } ?: refused(ResultCode.UNKNOWN_SERVICE).left()
    }

    /** Returns the workspace that a call of [matched] runs for, or null on an open route, which needs no key. */
    fun workspaceFor(matched: MatchedRoute, key: String?, nowMs: Long): Either<Failure, Workspace?> {
        if (matched.route.open) return null.right()
        return workspace(key, nowMs).flatMap { workspace ->
            val allowed = workspace.services.isEmpty() || matched.service.name in workspace.services
            if (allowed) workspace.right() else refused(ResultCode.MODEL_NOT_ALLOWED).left()
        }
    }

    private fun ServiceRoute.matches(method: String, path: String): Boolean =
        (methods.isEmpty() || method in methods) && isUnder(path)

    /** A prefix matches whole path segments: `/book` matches `/book` and `/book/1`, but not `/booking`. */
    private fun ServiceRoute.isUnder(path: String): Boolean =
        path == pathPrefix || path.startsWith(if (pathPrefix.endsWith('/')) pathPrefix else "$pathPrefix/")

    private fun refused(code: ResultCode) = Failure(code, RunState.NOT_RUN)

    private companion object {
        const val BEARER = "Bearer "
    }
}

/** A declared route that matches a call, with its service. */
internal data class MatchedRoute(
    val service: ServiceDeclaration,
    val route: ServiceRoute,
)

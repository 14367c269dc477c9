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

/** Decides who calls, and what the caller may use. */
internal class Callers(
    private val directory: DirectoryView,
) {
    /** The key in an `Authorization` header, or null. */
    fun presentedKey(authorization: String?): String? =
        authorization
            ?.takeIf { it.startsWith(BEARER, ignoreCase = true) }
            ?.substring(BEARER.length)
            ?.trim()
            ?.takeIf { it.isNotEmpty() }

    /** The workspace of [key]. */
    fun workspace(key: String?, nowMs: Long): Either<Failure, Workspace> =
        if (key == null) refused(ResultCode.KEY_MISSING).left() else directory.authenticate(key, nowMs)

    /** Whether [workspace] may use [model]. */
    fun mayUseModel(workspace: Workspace, model: String): Boolean =
        workspace.models.isEmpty() || model in workspace.models

    /** The route of a call, or why it is refused. */
    fun route(path: SafePath, method: String): Either<Failure, CalledRoute> {
        val service = directory.service(path.service) ?: return refused(ResultCode.UNKNOWN_SERVICE).left()
        val route = service.routes.firstOrNull { it.matches(method, path.decoded) }
        return route?.let { CalledRoute(service, it).right() } ?: refused(ResultCode.UNKNOWN_SERVICE).left()
    }

    /** The workspace that a call runs for, null on an open route. */
    fun workspaceFor(called: CalledRoute, key: String?, nowMs: Long): Either<Failure, Workspace?> {
        if (called.route.open) return null.right()
        return workspace(key, nowMs).flatMap { workspace ->
            val allowed = workspace.services.isEmpty() || called.service.name in workspace.services
            if (allowed) workspace.right() else refused(ResultCode.MODEL_NOT_ALLOWED).left()
        }
    }

    private fun ServiceRoute.matches(method: String, path: String): Boolean =
        (methods.isEmpty() || method in methods) && isUnder(path)

    /** A prefix ends at a segment: `/book` covers `/book` and `/book/1`, not `/booking`. */
    private fun ServiceRoute.isUnder(path: String): Boolean =
        path == pathPrefix || path.startsWith(if (pathPrefix.endsWith('/')) pathPrefix else "$pathPrefix/")

    private fun refused(code: ResultCode) = Failure(code, RunState.NOT_RUN)

    private companion object {
        const val BEARER = "Bearer "
    }
}

/** A declared route of a service that matches a call. */
internal data class CalledRoute(
    val service: ServiceDeclaration,
    val route: ServiceRoute,
)

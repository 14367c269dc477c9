package org.medlarhook.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import com.google.protobuf.ByteString
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.call.CallHeader
import org.medlarhook.core.claim.AtMostOnceRequest
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.entry.call.CallServices
import org.medlarhook.entry.call.PlainServiceCall
import org.medlarhook.entry.call.RequestInfo
import org.medlarhook.entry.call.ServiceCallListener
import org.medlarhook.entry.call.ServiceJob
import org.medlarhook.entry.claim.ClaimKey
import java.security.MessageDigest

/** Handles calls of plain services, under `/services/`. */
internal class ServiceHandler(
    private val services: CallServices,
    private val authorizer: CallerAuthorizer,
    private val outcomeRecorder: RequestOutcomeRecorder,
    private val drainState: DrainState,
    private val maxDeadlineMs: Long,
) {
    /** Refuses a call, and counts and logs the refusal. */
    fun refuse(caller: CallerRequest, failure: Failure) {
        outcomeRecorder.record(PlainServiceCall.KIND, caller.exchange.requestId, caller.receivedAtMs, failure)
        caller.exchange.problem(failure)
    }

    /** Checks path, route, workspace and idempotency key of a call before its body is read. */
    fun admit(caller: CallerRequest, head: ServiceCallHead): Either<Failure, AdmittedCall> =
        either {
            val path = SafePath.parse(head.requestUri).bind()
            val matched = authorizer.route(path, head.method).bind()
            val workspace = authorizer.workspaceFor(matched, caller.presentedKey, caller.receivedAtMs).bind()
            val filter = RequestFilter(caller.presentedKey)
            if (filter.hasKey(path.decoded)) raise(Failure(ResultCode.BAD_PARAMETER, RunState.NOT_RUN, KEY_IN_PATH))
            val key = idempotencyKey(head, matched, workspace).bind()
            AdmittedCall(path, matched, workspace, key)
        }

    /** Runs an admitted call. */
    fun handle(
        caller: CallerRequest,
        head: ServiceCallHead,
        admitted: AdmittedCall,
        body: ByteArray,
    ) {
        deadlineAtMs(caller, admitted).fold(
            ifLeft = { refuse(caller, it) },
            ifRight = { deadlineAtMs ->
                val info = info(caller, admitted.workspace, deadlineAtMs)
                PlainServiceCall(services, info, job(caller, head, admitted, info, body), Responder(caller)).start()
            },
        )
    }

    /** Returns the deadline of a call on the monotonic clock, or why the call is refused for it. */
    private fun deadlineAtMs(caller: CallerRequest, admitted: AdmittedCall): Either<Failure, Long> =
        either {
            val defaultMs = admitted.matched.service.defaultDeadlineMs
            val remainingMs = DeadlineHeader.parse(caller.deadlineHeader, defaultMs, maxDeadlineMs).bind()
            val deadlineAtMs = caller.receivedAtMs + remainingMs
            drainState.refusal(caller.receivedAtMs, deadlineAtMs)?.let { raise(it) }
            deadlineAtMs
        }

    private fun info(caller: CallerRequest, workspace: Workspace?, deadlineAtMs: Long) =
        RequestInfo(
            requestId = caller.exchange.requestId,
            workspace = workspace,
            presentedKey = caller.presentedKey,
            startedAtMs = caller.receivedAtMs,
            deadlineAtMs = deadlineAtMs,
        )

    private fun job(
        caller: CallerRequest,
        head: ServiceCallHead,
        admitted: AdmittedCall,
        info: RequestInfo,
        body: ByteArray,
    ): ServiceJob {
        val filter = RequestFilter(caller.presentedKey)
        val query = filter.query(head.query)
        val pathAndQuery = admitted.path.raw + query?.let { "?$it" }.orEmpty()
        return ServiceJob(
            service = admitted.path.service,
            method = head.method,
            pathAndQuery = pathAndQuery,
            headers = filter.headers(head.headers),
            body = ByteString.copyFrom(body),
            claimKey = admitted.claimKey,
            atMostOnceRequest =
                AtMostOnceRequest(
                    deadlineAtMs = info.deadlineAtMs,
                    digestHex = digest(head.method, admitted.path.service + pathAndQuery, body),
                    hasIdempotencyKey = admitted.claimKey != null,
                    idempotent = admitted.matched.route.idempotent,
                ),
        )
    }

    /** Returns the claim key, or null on an idempotent route, where a second run does no harm. */
    private fun idempotencyKey(
        head: ServiceCallHead,
        matched: MatchedRoute,
        workspace: Workspace?,
    ): Either<Failure, ClaimKey?> {
        val key = head.idempotencyKey ?: return null.right()
        if (!ClaimKey.isWellFormed(key)) {
            return Failure(ResultCode.BAD_PARAMETER, RunState.NOT_RUN, "the idempotency key is not well-formed").left()
        }
        if (matched.route.idempotent) return null.right()
        return ClaimKey(workspace?.name ?: "$OPEN_ROUTE_SCOPE${matched.service.name}", key).right()
    }

    private fun digest(method: String, path: String, body: ByteArray): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("$method $path\n".encodeToByteArray())
        return digest.digest(body).joinToString("") { "%02x".format(it) }
    }

    private inner class Responder(
        private val caller: CallerRequest,
    ) : ServiceCallListener {
        override fun answered(answer: CallAnswer, isReplay: Boolean) {
            outcomeRecorder.record(PlainServiceCall.KIND, caller.exchange.requestId, caller.receivedAtMs, null)
            val replayHeader =
                if (isReplay) listOf(CallHeader(HeaderNames.IDEMPOTENCY_REPLAYED, "true")) else emptyList()
            val headers = ResponseHeaderFilter.headers(answer.headers) + replayHeader
            caller.exchange.respond(answer.status, contentType = null, headers, answer.body)
        }

        override fun failed(failure: Failure) = refuse(caller, failure)
    }

    private companion object {
        const val OPEN_ROUTE_SCOPE = "~open~"
        const val KEY_IN_PATH = "the path holds the key"
    }
}

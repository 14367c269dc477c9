package org.medlarhook.entry.call

import com.google.protobuf.ByteString
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallHeader
import org.medlarhook.core.claim.AtMostOnceRequest
import org.medlarhook.entry.claim.ClaimKey
import org.medlarhook.protocol.Header
import org.medlarhook.protocol.ServiceCall

/**
 * A call of a plain service as it is sent to a sidecar.
 *
 * @property headers the caller's headers that are forwarded.
 * @property claimKey the idempotency key within its scope, or null if the call needs no claim.
 */
internal class ServiceJob(
    val service: String,
    val method: String,
    val pathAndQuery: String,
    val headers: List<CallHeader>,
    val body: ByteString,
    val claimKey: ClaimKey?,
    val atMostOnceRequest: AtMostOnceRequest,
) {
    /** Returns the message that starts [attempt]. */
    fun message(info: RequestInfo, attempt: AttemptRef, remainingMs: Long): ServiceCall =
        ServiceCall
            .newBuilder()
            .setAttemptId(attempt.attemptId)
            .setRequestId(info.requestId)
            .setWorkspace(info.workspace?.name.orEmpty())
            .setWeight(info.workspace?.weight ?: 1)
            .setIncarnation(attempt.incarnation)
            .setService(service)
            .setMethod(method)
            .setPathAndQuery(pathAndQuery)
            .addAllHeaders(headers.map { it.toMessage() })
            .setBody(body)
            .setRemainingMs(remainingMs)
            .setIdempotent(atMostOnceRequest.idempotent)
            .build()

    private fun CallHeader.toMessage(): Header =
        Header
            .newBuilder()
            .setName(name)
            .setValue(value)
            .build()
}

package org.medlarhook.entry.http

import com.google.protobuf.ByteString
import io.grpc.StatusRuntimeException
import io.javalin.http.Context
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.entry.routing.UpstreamChooser
import org.medlarhook.entry.upstream.UpstreamPool
import org.medlarhook.protocol.Header
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.protocol.SidecarServiceGrpc
import java.util.UUID
import java.util.concurrent.TimeUnit

/** Handles calls of plain services. Only the content headers go inward; keys and cookies stay here. */
internal class ServiceHandler(
    private val pool: UpstreamPool,
    private val chooser: UpstreamChooser,
) {
    /** Answers one call of [service]; [workspace] is null on an open route. */
    fun handle(context: Context, workspace: Workspace?, service: String, path: String) {
        val link = chooser.choose(pool.forService(service))
        if (link == null) {
            context.problem(Failure(ResultCode.NO_UPSTREAM, RunState.NOT_RUN, retryAfterMs = RETRY_AFTER_MS))
            return
        }
        val query = context.queryString()?.let { "?$it" }.orEmpty()
        val call =
            ServiceCall
                .newBuilder()
                .setAttemptId(UUID.randomUUID().toString())
                .setWorkspace(workspace?.name.orEmpty())
                .setIncarnation(link.registration.incarnation)
                .setService(service)
                .setMethod(context.method().name)
                .setPathAndQuery("/$path$query")
                .setBody(ByteString.copyFrom(context.bodyAsBytes()))
                .setRemainingMs(DEADLINE_MS)
                .addAllHeaders(inwardHeaders(context))
                .build()
        try {
            val stub = SidecarServiceGrpc.newBlockingStub(link.channel)
            answer(context, stub.withDeadlineAfter(DEADLINE_MS, TimeUnit.MILLISECONDS).callService(call))
        } catch (e: StatusRuntimeException) {
            context.problem(Failure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, e.status.code.name))
        }
    }

    private fun answer(context: Context, answer: ServiceAnswer) {
        if (answer.hasRefusal()) {
            context.problem(answer.refusal.toFailure())
            return
        }
        val response = answer.response
        response.headersList.filter { it.name.lowercase() in PASSED }.forEach { context.header(it.name, it.value) }
        context.status(response.status).result(response.body.toByteArray())
    }

    private fun inwardHeaders(context: Context): List<Header> =
        context
            .headerMap()
            .filterKeys { it.lowercase() in PASSED }
            .map { (name, value) -> Header.newBuilder().setName(name).setValue(value).build() }

    private companion object {
        const val DEADLINE_MS = 10_000L
        const val RETRY_AFTER_MS = 1_000L
        val PASSED = setOf("content-type", "accept", "accept-language", "content-language", "etag", "cache-control")
    }
}

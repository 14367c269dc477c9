package org.medlarhook.sidecar.service

import com.google.protobuf.ByteString
import okhttp3.Call
import okhttp3.Response
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.protocol.Header
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceResponse
import org.medlarhook.sidecar.http.SendProgress
import org.medlarhook.sidecar.rpc.toRefusal
import java.io.IOException

/** One call to the service, sent at most once. */
internal class PreparedCall(
    private val maxAnswerBytes: Long,
    private val progress: SendProgress,
    private val remainingMs: () -> Long,
    private val open: (timeoutMs: Long) -> Call,
) {
    @Volatile
    private var call: Call? = null

    /** Sends the call and returns its response, or a refusal with the run state of the call. */
    fun run(): ServiceAnswer {
        val timeoutMs = remainingMs()
        if (timeoutMs <= 0) return refusal(ResultCode.DEADLINE_EXCEEDED, RunState.NOT_RUN, "not sent")
        return try {
            open(timeoutMs).also { call = it }.execute().use { read(it) }
        } catch (e: IllegalArgumentException) {
            refusal(ResultCode.BAD_PARAMETER, RunState.NOT_RUN, "the request can't be sent")
        } catch (e: IOException) {
            connectionFailure(e)
        }
    }

    /** Cancels the call. */
    fun cancel() {
        call?.cancel()
    }

    private fun read(response: Response): ServiceAnswer {
        val source = response.body.source()
        if (source.request(maxAnswerBytes + 1)) {
            return refusal(ResultCode.UPSTREAM_FAILED, RunState.RUN, "the answer is too large")
        }
        val answer =
            ServiceResponse
                .newBuilder()
                .setStatus(response.code)
                .addAllHeaders(response.headers.filter { it.first.lowercase() !in HOP_BY_HOP }.map { header(it) })
                .setBody(ByteString.copyFrom(source.readByteArray()))
        return ServiceAnswer.newBuilder().setResponse(answer).build()
    }

    private fun connectionFailure(cause: IOException): ServiceAnswer {
        val detail = cause.message ?: "connection lost"
        return when {
            !progress.mayHaveBeenSent -> refusal(ResultCode.UPSTREAM_FAILED, RunState.NOT_RUN, detail)
            else -> refusal(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail)
        }
    }

    private fun header(field: Pair<String, String>): Header =
        Header
            .newBuilder()
            .setName(field.first)
            .setValue(field.second)
            .build()

    private fun refusal(code: ResultCode, runState: RunState, detail: String): ServiceAnswer =
        ServiceAnswer.newBuilder().setRefusal(Failure(code, runState, detail).toRefusal()).build()

    private companion object {
        val HOP_BY_HOP =
            setOf("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "proxy-authenticate")
    }
}

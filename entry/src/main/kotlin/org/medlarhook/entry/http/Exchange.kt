package org.medlarhook.entry.http

import io.javalin.http.Context
import org.medlarhook.core.call.CallHeader
import org.medlarhook.core.result.Failure
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean

/** One request of a caller and its answer, which is given once and without holding a thread. */
internal class Exchange(
    private val context: Context,
    val requestId: String,
    private val maxBufferedBytes: Int,
) {
    private val isAnswered = AtomicBoolean()

    /** True once the whole body was read; a connection with unread bytes is not used again. */
    @Volatile
    var isBodyRead = hasNoBody()

    /** Completes when the answer is written or the caller is lost. */
    val completion = CompletableFuture<Unit>()

    /** Called if the caller leaves before the answer is written. */
    @Volatile
    var whenLost: () -> Unit = {}

    /** Called when a slow caller has caught up. */
    @Volatile
    var whenDrained: () -> Unit = {}

    /** Answers with [body] and ends the exchange; only the first answer counts. */
    fun respond(
        status: Int,
        contentType: String?,
        headers: List<CallHeader>,
        body: ByteArray,
    ) {
        val writer = open(status, contentType, headers) ?: return
        writer.write(body)
        writer.close()
    }

    /** Answers with a problem. */
    fun problem(failure: Failure) {
        val headers = failure.retryAfterHeader()
        respond(failure.code.httpStatus, PROBLEM_TYPE, headers, failure.toJson().toString().encodeToByteArray())
    }

    /** Sends status and headers, and returns the writer for the body; null if there was an answer before. */
    fun open(status: Int, contentType: String?, headers: List<CallHeader>): ResponseWriter? {
        if (!isAnswered.compareAndSet(false, true)) return null
        val response = context.res()
        response.status = status
        contentType?.let { response.contentType = it }
        response.setHeader(HeaderNames.REQUEST_ID, requestId)
        if (!isBodyRead) response.setHeader("Connection", "close")
        headers.forEach { response.addHeader(it.name, it.value) }
        return ResponseWriter(response.outputStream, maxBufferedBytes, Following()).also { it.start() }
    }

    private fun hasNoBody(): Boolean {
        val request = context.req()
        return request.contentLengthLong <= 0 && request.getHeader("Transfer-Encoding") == null
    }

    private inner class Following : ResponseWriter.Listener {
        override fun drained() = whenDrained()

        override fun closed() {
            completion.complete(Unit)
        }

        override fun lost() {
            whenLost()
            completion.complete(Unit)
        }
    }

    private companion object {
        const val PROBLEM_TYPE = "application/problem+json"
    }
}

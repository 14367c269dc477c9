package org.medlarhook.entry.http

import io.javalin.http.Context
import org.medlarhook.core.call.CallHeader
import org.medlarhook.core.result.Failure
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean

/** One request of a caller and its answer, which is sent at most once and without blocking a thread. */
internal class Exchange(
    private val context: Context,
    val requestId: String,
    private val maxBufferedBytes: Int,
) {
    private val isAnswered = AtomicBoolean()

    /** True once the whole body is read. A connection with unread bytes is closed after the answer. */
    @Volatile
    var isBodyRead = hasNoBody()

    /** Completes when the answer is written or the caller has disconnected. */
    val completion = CompletableFuture<Unit>()

    /** Called if the caller disconnects before the whole answer is written. */
    @Volatile
    var onDisconnected: () -> Unit = {}

    /** Called when the output buffer has become empty, for example after a slow caller has read it. */
    @Volatile
    var onDrained: () -> Unit = {}

    /** Answers with [body] and ends the exchange. Does nothing if an answer was started before. */
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

    /** Answers with the problem details of [failure]. */
    fun problem(failure: Failure) {
        val headers = failure.retryAfterHeader()
        respond(failure.code.httpStatus, PROBLEM_TYPE, headers, failure.toJson().toString().encodeToByteArray())
    }

    /** Sets status and headers, and returns the writer for the body, or null if an answer was started before. */
    fun open(status: Int, contentType: String?, headers: List<CallHeader>): ResponseWriter? {
        if (!isAnswered.compareAndSet(false, true)) return null
        val response = context.res()
        response.status = status
        contentType?.let { response.contentType = it }
        response.setHeader(HeaderNames.REQUEST_ID, requestId)
        if (!isBodyRead) response.setHeader("Connection", "close")
        headers.forEach { response.addHeader(it.name, it.value) }
        return ResponseWriter(response.outputStream, maxBufferedBytes, ConnectionListener()).also { it.start() }
    }

    private fun hasNoBody(): Boolean {
        val request = context.req()
        return request.contentLengthLong <= 0 && request.getHeader("Transfer-Encoding") == null
    }

    private inner class ConnectionListener : ResponseWriter.Listener {
        override fun drained() = onDrained()

        override fun closed() {
            completion.complete(Unit)
        }

        override fun disconnected() {
            onDisconnected()
            completion.complete(Unit)
        }
    }

    private companion object {
        const val PROBLEM_TYPE = "application/problem+json"
    }
}

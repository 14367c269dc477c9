package org.medlarhook.runtime.http

import okhttp3.Interceptor
import okhttp3.MediaType
import okhttp3.RequestBody
import okhttp3.Response
import okio.BufferedSink
import org.medlarhook.core.serving.answer.HeadCheck
import java.io.IOException

/**
 * Fails a call whose answer has a head that is not that of one answer, or ends with a connection on which the request
 * could not be written whole, and closes the connection. OkHttp reads an answer even if the request's body can't be
 * written any more.
 *
 * For use as the last network interceptor of a client, so that it sees each head as it was received.
 */
public object OneAnswerInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val body = request.body?.let { ObservedBody(it) }
        val response = chain.proceed(request.newBuilder().method(request.method, body).build())
        val fault =
            HeadCheck.faultOf(response.code, response.message, response.headers)
                ?: "it ends with the connection, and its request was not written whole"
                    .takeIf { body?.isWritten == false && isUnframed(response) }
                ?: return response
        chain.call().cancel()
        response.close()
        throw IOException("the answer is not one: $fault")
    }

    private fun isUnframed(response: Response): Boolean =
        response.header("Content-Length") == null &&
            !response.header("Transfer-Encoding").equals("chunked", ignoreCase = true)
}

/** Records whether [body] was written to the connection as a whole. */
private class ObservedBody(
    private val body: RequestBody,
) : RequestBody() {
    @Volatile
    var isWritten = false
        private set

    override fun contentType(): MediaType? = body.contentType()

    override fun contentLength(): Long = body.contentLength()

    override fun writeTo(sink: BufferedSink) {
        body.writeTo(sink)
        sink.flush()
        isWritten = true
    }
}

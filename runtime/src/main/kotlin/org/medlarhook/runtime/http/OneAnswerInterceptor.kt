package org.medlarhook.runtime.http

import okhttp3.Interceptor
import okhttp3.Response
import org.medlarhook.core.serving.answer.HeadCheck
import java.io.IOException

/**
 * Fails a call whose answer has a head into which a second answer was written, and closes its connection.
 *
 * For use as the last network interceptor of a client, so that it sees each head as it was received.
 */
public object OneAnswerInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val fault = HeadCheck.faultOf(response.message, response.headers) ?: return response
        chain.call().cancel()
        response.close()
        throw IOException("the answer is not one: $fault")
    }
}

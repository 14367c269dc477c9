package org.medlarhook.serving.upstream

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil

/** How the end of an answer's body is determined. */
internal enum class BodyFraming {
    LENGTH,
    CHUNKED,
    CONNECTION_CLOSE,
    ;

    companion object {
        private val BODILESS_STATUSES = setOf(204, 304)

        /** Returns the framing of [response], which consists of a head only if [isHeadOnly]. */
        fun of(response: HttpResponse, isHeadOnly: Boolean): BodyFraming {
            val headers = response.headers()
            return when {
                HttpUtil.isTransferEncodingChunked(response) -> CHUNKED
                headers.contains(HttpHeaderNames.CONTENT_LENGTH) -> LENGTH
                isHeadOnly || response.status().code() in BODILESS_STATUSES -> LENGTH
                headers.contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.UPGRADE, true) -> LENGTH
                else -> CONNECTION_CLOSE
            }
        }
    }
}

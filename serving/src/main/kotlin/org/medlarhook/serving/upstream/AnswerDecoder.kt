package org.medlarhook.serving.upstream

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the answers on a connection to an upstream.
 *
 * @param isBodiless true if a response is the answer to a request whose answers have no body, as with HEAD.
 */
internal class AnswerDecoder(
    private val isBodiless: (HttpResponse) -> Boolean,
) : HttpResponseDecoder(CONFIG) {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || (message is HttpResponse && isBodiless(message))

    private companion object {
        const val MAX_HEAD_BYTES = 32 * 1024
        val CONFIG: HttpDecoderConfig = HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES)
    }
}

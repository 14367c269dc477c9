package org.medlarhook.serving.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Decodes requests, and refuses one with two lengths: a second request could be smuggled in its body. */
internal class StrictRequestDecoder(
    headerBytes: Int,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(headerBytes)
            .setMaxHeaderSize(headerBytes)
            .setMaxChunkSize(CHUNK_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("request has both Transfer-Encoding and Content-Length")
    }

    private companion object {
        const val CHUNK_BYTES = 16 * 1024
    }
}

package org.medlarhook.serving.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Reads requests, and rejects one whose end is ambiguous: a second request could hide in its body. */
internal class StrictRequestDecoder(
    headerBytes: Int,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(headerBytes)
            .setMaxHeaderSize(headerBytes)
            .setMaxChunkSize(CHUNK_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("Both Transfer-Encoding and Content-Length")
    }

    private companion object {
        const val CHUNK_BYTES = 16 * 1024
    }
}

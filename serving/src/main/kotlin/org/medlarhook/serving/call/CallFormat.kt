package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.medlarhook.core.serving.fleet.Upstream

/** Converts between HTTP messages in the platform's format and the types of this module. */
public interface CallFormat {
    /** Names of the headers that tell an upstream's answer from others: the id of the attempt, and the stamp. */
    public val answerNameHeaders: List<String>

    /** Names of the headers that an upstream's answer has at most once. */
    public val singleAnswerHeaders: List<String>

    /** Parses a caller's [request], or returns null if it is malformed. */
    public fun readCall(request: HttpRequest, body: ByteBuf): CallerCall?

    /** The request to send to [upstream] for [call]. */
    public fun upstreamRequest(call: CallerCall, upstream: Upstream, options: AttemptOptions): FullHttpRequest

    /** Reads the cache handle from the [body] of an answer to a prefill, or returns null if there is none. */
    public fun readCacheHandle(body: ByteBuf): String?

    /** The request by which [upstream] frees the cache that it keeps under [cacheHandle]. */
    public fun cacheReleaseRequest(upstream: Upstream, cacheHandle: String): FullHttpRequest

    /** Parses the head of an upstream's answer. */
    public fun readHead(response: HttpResponse): UpstreamHead

    /** The headers of an upstream's answer that are forwarded to the caller. */
    public fun callerHeaders(response: HttpResponse): HttpHeaders

    /** The headers of an answer that this process creates itself; [call] is null if no request could be parsed. */
    public fun ownHeaders(call: CallerCall?, retryAfterMs: Long?): HttpHeaders
}

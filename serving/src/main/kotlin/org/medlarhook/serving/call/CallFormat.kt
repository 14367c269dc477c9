package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.medlarhook.core.serving.fleet.Upstream

/** Translates between the messages on the wire and the project's own terms. */
public interface CallFormat {
    /** Reads a caller's [request], or returns null if its fields can't be read. */
    public fun readCall(request: HttpRequest, body: ByteBuf): CallerCall?

    /** The request that [upstream] gets for [call]. */
    public fun upstreamRequest(call: CallerCall, upstream: Upstream, options: AttemptOptions): FullHttpRequest

    /** Reads the handle from the answer of an engine that has read a prompt, or returns null if there is none. */
    public fun readCacheHandle(body: ByteBuf): String?

    /** Tells an engine that the cache kept as [cacheHandle] is not needed. */
    public fun cacheReleaseRequest(upstream: Upstream, cacheHandle: String): FullHttpRequest

    /** Reads the head of an upstream's answer. */
    public fun readHead(response: HttpResponse): UpstreamHead

    /** The headers of an upstream's answer that the caller gets. */
    public fun callerHeaders(response: HttpResponse): HttpHeaders

    /** The headers of an answer of the system's own. */
    public fun ownHeaders(call: CallerCall?, retryAfterMs: Long?): HttpHeaders
}

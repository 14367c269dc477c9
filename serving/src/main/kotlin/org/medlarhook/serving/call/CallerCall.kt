package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import org.medlarhook.core.serving.load.GenerationWork

/**
 * A caller's request as read, in the project's own terms.
 *
 * @property attemptId names this attempt of the caller; upstreams echo it.
 * @property target path and query as sent.
 * @property remainingMs how long the caller waits, or null if it does not say.
 * @property headers what it sent, for the headers that are passed on unchanged.
 * @property body the whole body; the exchange releases it.
 */
public class CallerCall(
    public val attemptId: String?,
    public val method: String,
    public val target: String,
    public val host: String,
    public val apiKey: String?,
    public val remainingMs: Long?,
    public val generation: GenerationWork?,
    public val lastEventId: Long?,
    public val headers: HttpHeaders,
    public val body: ByteBuf,
) {
    /** The path without its query. */
    public val path: String get() = target.substringBefore('?')
}

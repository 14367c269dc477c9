package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import org.medlarhook.core.serving.load.GenerationWork

/**
 * A caller's request after parsing.
 *
 * @property attemptId identifies this attempt of the caller; upstreams return it with their answer.
 * @property target path and query as sent.
 * @property remainingMs how long the caller waits, or null if it sets no deadline.
 * @property lastEventId id of the last event that the caller has received, if it resumes a stream.
 * @property resumedAttemptId the attempt of the caller that brought the stream's first event, if it resumes a stream.
 * @property headers all headers as sent; most are forwarded unchanged.
 * @property body the complete body; the exchange releases it.
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
    public val resumedAttemptId: String?,
    public val headers: HttpHeaders,
    public val body: ByteBuf,
) {
    /** The path without its query. */
    public val path: String get() = target.substringBefore('?')
}

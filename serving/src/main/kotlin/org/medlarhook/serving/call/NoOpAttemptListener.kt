package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.medlarhook.serving.upstream.AttemptFailure
import org.medlarhook.serving.upstream.AttemptListener
import org.medlarhook.serving.upstream.BodyFraming
import org.medlarhook.serving.upstream.ConnectionPosition

/** Ignores the result of requests that free a resource: if one is lost, the resource expires without it. */
internal class NoOpAttemptListener : AttemptListener {
    override val usesAnswer: Boolean get() = false

    override fun onSent(position: ConnectionPosition) = Unit

    override fun onHead(head: UpstreamHead, response: HttpResponse, framing: BodyFraming) = Unit

    override fun onBody(bytes: ByteBuf) = Unit

    override fun onEnd() = Unit

    override fun onFailure(reason: AttemptFailure, wasSent: Boolean) = Unit

    override fun onAbandoned() = Unit
}

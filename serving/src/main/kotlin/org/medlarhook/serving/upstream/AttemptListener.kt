package org.medlarhook.serving.upstream

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.medlarhook.serving.call.UpstreamHead

/** Hears what becomes of one attempt. After [onEnd] or [onFailure] only [onAbandoned] may come. */
internal interface AttemptListener {
    /** The request is on its way: from now on the upstream may run it. */
    fun onSent()

    fun onHead(head: UpstreamHead, response: HttpResponse, framing: BodyFraming)

    /** [bytes] are released by the caller of this function. */
    fun onBody(bytes: ByteBuf)

    /** The answer is whole. */
    fun onEnd()

    /** The attempt has failed; [wasSent] says whether the upstream may have run it. */
    fun onFailure(reason: AttemptFailure, wasSent: Boolean)

    /** The attempt was given up; may also come after its end. */
    fun onAbandoned()
}

/** How the end of an answer's body is marked. */
internal enum class BodyFraming {
    LENGTH,
    CHUNKED,
    CONNECTION_CLOSE,
}

/** Why an attempt brought no whole answer. */
internal enum class AttemptFailure {
    CONNECT_FAILED,
    CONNECTION_LOST,
    UNREADABLE_ANSWER,
}

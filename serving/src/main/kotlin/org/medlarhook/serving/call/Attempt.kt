package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.medlarhook.serving.upstream.AttemptFailure
import org.medlarhook.serving.upstream.AttemptHandle
import org.medlarhook.serving.upstream.AttemptListener
import org.medlarhook.serving.upstream.BodyFraming

/** One attempt of an exchange at an upstream: reads the answer's head and passes the body to the relay. */
internal class Attempt(
    private val exchange: Exchange,
    private val relay: Relay,
    private val tracker: AttemptTracker,
) : AttemptListener {
    var handle: AttemptHandle? = null
    private var isOver = false
    private var isDropping = false
    private var head: UpstreamHead? = null

    override fun onSent() {
        exchange.attemptSent()
    }

    override fun onHead(head: UpstreamHead, response: HttpResponse, framing: BodyFraming) {
        this.head = head
        tracker.answered(head)
        when {
            head.isNotRun || head.isMisdirected -> {
                isDropping = true
                end { tracker.notRun(head) }
                exchange.attemptNotRun(head.isMisdirected)
            }
            head.isUnstampedSuccess || head.isEncoded -> {
                isDropping = true
                end { tracker.failed(wasSent = true) }
                handle?.abandon()
                exchange.attemptFailed(AttemptFailure.UNREADABLE_ANSWER, wasSent = true)
            }
            head.status >= FIRST_SERVER_ERROR -> {
                tracker.ran()
                isDropping = exchange.retryAfterError()
                if (isDropping) end { tracker.ended(isSound = false) } else relay.begin(head, response, framing)
            }
            else -> relay.begin(head, response, framing)
        }
    }

    override fun onBody(bytes: ByteBuf) {
        if (isDropping) return
        if (head?.isStream == true) tracker.firstToken() else tracker.ran()
        relay.body(bytes)
        handle?.setReading(relay.isCallerWritable)
    }

    override fun onEnd() {
        if (isDropping) return
        val status = head?.status ?: return
        tracker.ran()
        end { tracker.ended(isSound = status < FIRST_SERVER_ERROR) }
        relay.end()
        exchange.answered(status)
    }

    override fun onFailure(reason: AttemptFailure, wasSent: Boolean) {
        if (isDropping) return
        end { tracker.failed(wasSent) }
        relay.interrupted()
        exchange.attemptFailed(reason, wasSent)
    }

    override fun onAbandoned() {
        end { tracker.abandoned() }
    }

    private fun end(account: () -> Unit) {
        if (isOver) return
        isOver = true
        account()
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}

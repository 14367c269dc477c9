package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.medlarhook.serving.upstream.AttemptFailure
import org.medlarhook.serving.upstream.AttemptHandle
import org.medlarhook.serving.upstream.AttemptListener
import org.medlarhook.serving.upstream.BodyFraming
import org.medlarhook.serving.upstream.ConnectionPosition

/** One attempt of an exchange at an upstream: evaluates the answer's head and passes the body to the [Relay]. */
internal class Attempt(
    private val exchange: Exchange,
    val dispatch: Dispatch,
    val relay: Relay,
    private val tracker: AttemptTracker,
    val record: AttemptRecord,
) : AttemptListener {
    var handle: AttemptHandle? = null
    private var isAccounted = false
    private var isDiscarding = false
    private var head: UpstreamHead? = null
    private var framing = BodyFraming.LENGTH
    private var bodyReads = 0

    /** True once a part of the answer is there: the head of a plain one, or the first event of a stream. */
    val isAnswering: Boolean get() = relay.hasBegun || head?.isStream == false

    override fun onSent(position: ConnectionPosition) {
        record.arrived(position)
        exchange.attemptSent(this)
    }

    override fun onHead(head: UpstreamHead, response: HttpResponse, framing: BodyFraming) {
        this.head = head
        this.framing = framing
        tracker.headReceived(head)
        record.answered(head, framing)
        when {
            head.isNotRun || head.isMisdirected -> {
                discardRest()
                account { tracker.notRun(head) }
                exchange.attemptNotRun(this, head.isMisdirected)
            }
            !relay.accepts(head) -> failNotContinued()
            head.isUnstampedSuccess || head.isEncoded -> failUnreadable()
            head.isUnfoundedPromise && !exchange.mayRunAgain -> failUnreadable()
            head.status >= FIRST_SERVER_ERROR -> {
                tracker.runStarted()
                if (exchange.retryOnServerError(this)) {
                    discardRest()
                    account { tracker.ended(isSuccess = false) }
                } else {
                    relay.begin(head, response)
                }
            }
            else -> relay.begin(head, response)
        }
    }

    private fun discardRest() {
        isDiscarding = true
        handle?.discardRest()
    }

    /** Ends an attempt to resume a stream that was answered with anything but a stream, such as an error. */
    private fun failNotContinued() {
        discardRest()
        account { tracker.failed(wasSent = true) }
        exchange.attemptFailed(this, AttemptFailure.STREAM_NOT_CONTINUED, wasSent = true)
    }

    private fun failUnreadable() {
        isDiscarding = true
        account { tracker.failed(wasSent = true) }
        handle?.abandon()
        relay.interrupted()
        exchange.attemptFailed(this, AttemptFailure.UNREADABLE_ANSWER, wasSent = true)
    }

    override fun onBody(bytes: ByteBuf) {
        if (isDiscarding) return
        bodyReads++
        tracker.runStarted()
        val isKept = relay.body(bytes)
        if (relay.hasBegun) exchange.eventsDelivered(this)
        if (!isKept) return failUnreadable()
        if (head?.isStream == true) tracker.firstTokenReceived()
        handle?.setReading(relay.isCallerWritable)
    }

    override fun onEnd() {
        if (isDiscarding) return
        val status = head?.status ?: return
        if (relay.endsInsideEvent) return onFailure(AttemptFailure.STREAM_BROKEN_OFF, wasSent = true)
        tracker.runStarted()
        observeEnd(status)
        account { tracker.ended(isSuccess = status < FIRST_SERVER_ERROR) }
        relay.end()
        exchange.answered(this, status)
    }

    /** A crash also ends an answer that ends with its connection; it happens as the answer begins. */
    private fun observeEnd(status: Int) {
        if (status !in SUCCESSES) return
        when {
            framing != BodyFraming.CONNECTION_CLOSE || bodyReads >= MIN_READS_OF_ANSWER -> exchange.answerCompleted()
            bodyReads == 0 -> exchange.connectionLost(tracker.upstream)
        }
    }

    override fun onFailure(reason: AttemptFailure, wasSent: Boolean) {
        if (isDiscarding) return
        if (reason.isBrokenOff && wasSent) exchange.connectionLost(tracker.upstream)
        account { if (reason == AttemptFailure.WORK_NOT_ACCEPTED) tracker.abandoned() else tracker.failed(wasSent) }
        relay.interrupted()
        exchange.attemptFailed(this, reason, wasSent)
    }

    override fun onAbandoned() {
        account { tracker.abandoned() }
    }

    /** Ends the attempt while another one serves the request; [isOutrun] if it was sent before that one. */
    fun giveUp(isOutrun: Boolean) {
        isDiscarding = true
        account { if (isOutrun) tracker.outrun() else tracker.abandoned() }
        record.failed(if (isOutrun) "outrun" else "given_up")
        handle?.abandon()
        relay.release()
    }

    private fun account(update: () -> Unit) {
        if (isAccounted) return
        isAccounted = true
        update()
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        val SUCCESSES = 200..299

        /** A crashing engine gets no further than its first events. */
        const val MIN_READS_OF_ANSWER = 3
    }
}

package org.medlarhook.serving.call

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.serving.upstream.AttemptFailure
import org.medlarhook.serving.upstream.AttemptListener
import org.medlarhook.serving.upstream.BodyFraming
import org.medlarhook.serving.upstream.ConnectionPosition

/** Runs the prefill of a request at an engine that keeps the resulting cache for another engine. */
internal class PrefillAttempt(
    private val exchange: Exchange,
    private val serving: ServingLoop,
    demand: Demand,
    private val chosen: Placement.Chosen,
    sentAtMs: Long,
    val record: AttemptRecord,
) : AttemptListener {
    private val tracker = AttemptTracker(serving, demand, chosen, sentAtMs, chosen.prefill!!) {}
    private val body = Unpooled.buffer()
    private var head: UpstreamHead? = null

    override fun onSent(position: ConnectionPosition) {
        record.arrived(position)
    }

    override fun onHead(head: UpstreamHead, response: HttpResponse, framing: BodyFraming) {
        this.head = head
        tracker.headReceived(head)
        record.answered(head, framing)
    }

    override fun onBody(bytes: ByteBuf) {
        if (body.readableBytes() + bytes.readableBytes() <= MAX_BODY_BYTES) {
            body.writeBytes(bytes)
        } else {
            exchange.abandonAttempt()
            exchange.prefillFailed(this, AttemptFailure.UNREADABLE_ANSWER.name.lowercase())
        }
    }

    override fun onEnd() {
        val cacheHandle = if (head?.status == OK) serving.format.readCacheHandle(body) else null
        body.release()
        if (cacheHandle == null) {
            val current = head
            if (current != null && current.isNotRun) tracker.notRun(current) else tracker.ended(isSuccess = false)
            exchange.prefillFailed(this, "prompt_refused")
        } else {
            tracker.firstTokenReceived()
            tracker.ended(isSuccess = true)
            exchange.prefillDone(this, chosen, cacheHandle)
        }
    }

    override fun onFailure(reason: AttemptFailure, wasSent: Boolean) {
        body.release()
        if (reason == AttemptFailure.WORK_NOT_ACCEPTED) tracker.abandoned() else tracker.failed(wasSent = false)
        exchange.prefillFailed(this, reason.name.lowercase(), wasSent)
    }

    override fun onAbandoned() {
        if (body.refCnt() > 0) body.release()
        tracker.abandoned()
    }

    private companion object {
        const val OK = 200
        const val MAX_BODY_BYTES = 4_096
    }
}

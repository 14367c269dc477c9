package org.medlarhook.entry.call

import org.medlarhook.core.call.GenerationEvent
import org.medlarhook.entry.upstream.GenerateListener
import org.medlarhook.entry.upstream.GenerateStream
import org.medlarhook.entry.upstream.SidecarClient
import org.medlarhook.entry.upstream.UpstreamLink
import org.medlarhook.entry.upstream.toFailure
import org.medlarhook.protocol.GenerateRequest
import java.util.concurrent.atomic.AtomicInteger
import org.medlarhook.protocol.GenerateEvent as WireEvent

/** One running attempt: turns wire events into events of the machine and holds the upstream back for a slow caller. */
internal class GenerationAttempt(
    val id: String,
    val link: UpstreamLink,
    private val sink: GenerationSink,
    private val post: (GenerationEvent) -> Unit,
    private val billed: (Long) -> Unit,
) : GenerateListener {
    @Volatile
    private var stream: GenerateStream? = null
    private val owed = AtomicInteger()

    @Volatile
    private var isCancelled = false

    /** True while events are not asked for, as the caller is slow. */
    val isHeldBack: Boolean
        get() = sink.isFull

    /** Sends the attempt. */
    fun start(client: SidecarClient, request: GenerateRequest) {
        val opened = client.generate(link, request, this)
        stream = opened
        if (isCancelled) opened.cancel()
        resume()
    }

    /** Cancels the upstream's work. */
    fun cancel() {
        isCancelled = true
        stream?.cancel()
    }

    /** Asks for the events that were held back, unless the caller is still slow. */
    fun resume() {
        if (sink.isFull) return
        val opened = stream ?: return
        val count = owed.getAndSet(0)
        if (count > 0) opened.request(count)
    }

    /** Asks for more events in batches, as each question costs a message. */
    private fun handled() {
        if (owed.incrementAndGet() >= GenerateStream.EVENTS_AHEAD / 2) resume()
    }

    override fun event(event: WireEvent) {
        when (event.eventCase) {
            WireEvent.EventCase.STARTED -> post(GenerationEvent.Alive(id, started = true))
            WireEvent.EventCase.TOKENS ->
                post(GenerationEvent.TokensArrived(id, event.tokens.firstIndex, event.tokens.textsList))
            WireEvent.EventCase.FINISHED -> finished(event)
            WireEvent.EventCase.REFUSAL -> post(GenerationEvent.Refused(id, event.refusal.toFailure()))
            WireEvent.EventCase.EVENT_NOT_SET, null -> post(GenerationEvent.Alive(id, started = false))
        }
        handled()
    }

    override fun ended(detail: String) {
        post(GenerationEvent.Broken(id, detail))
    }

    private fun finished(event: WireEvent) {
        val receipt = event.finished.receipt
        if (receipt.promptTokens > 0) billed(receipt.promptTokens)
        post(GenerationEvent.Completed(id, event.finished.finishReason))
    }
}

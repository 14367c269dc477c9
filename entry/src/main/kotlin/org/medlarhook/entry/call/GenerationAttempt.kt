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

/**
 * One running attempt. Converts protobuf events into events of the state machine, and applies back-pressure to the
 * upstream while the caller reads too slowly.
 *
 * @param onPromptTokens called with the number of prompt tokens on the receipt.
 */
internal class GenerationAttempt(
    val id: String,
    val link: UpstreamLink,
    private val sink: GenerationSink,
    private val post: (GenerationEvent) -> Unit,
    private val onPromptTokens: (Long) -> Unit,
) : GenerateListener {
    @Volatile
    private var stream: GenerateStream? = null

    /** Events handled since more were last requested. */
    private val handledEvents = AtomicInteger()

    @Volatile
    private var isCancelled = false

    /** True while no events are requested, because the caller reads too slowly. */
    val isPaused: Boolean
        get() = sink.isFull

    /** Sends the attempt. */
    fun start(client: SidecarClient, request: GenerateRequest) {
        val opened = client.generate(link, request, this)
        stream = opened
        if (isCancelled) opened.cancel()
        resume()
    }

    /** Cancels the attempt at the upstream. */
    fun cancel() {
        isCancelled = true
        stream?.cancel()
    }

    /** Requests as many events as were handled since the last request, unless the caller still reads too slowly. */
    fun resume() {
        if (sink.isFull) return
        val opened = stream ?: return
        val count = handledEvents.getAndSet(0)
        if (count > 0) opened.request(count)
    }

    /** Requests more events in batches, because each request costs a message. */
    private fun eventHandled() {
        if (handledEvents.incrementAndGet() >= GenerateStream.INITIAL_EVENTS / 2) resume()
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
        eventHandled()
    }

    override fun ended(detail: String) {
        post(GenerationEvent.Broken(id, detail))
    }

    private fun finished(event: WireEvent) {
        val receipt = event.finished.receipt
        if (receipt.promptTokens > 0) onPromptTokens(receipt.promptTokens)
        post(GenerationEvent.Completed(id, event.finished.finishReason))
    }
}

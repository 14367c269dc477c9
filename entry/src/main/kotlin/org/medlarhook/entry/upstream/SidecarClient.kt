package org.medlarhook.entry.upstream

import org.medlarhook.core.claim.SealResult
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall

/** Calls sidecars. No call blocks; callbacks run on the worker threads that read from the channels. */
internal interface SidecarClient {
    /** Starts a generation, whose events are passed to [listener]. */
    fun generate(link: UpstreamLink, request: GenerateRequest, listener: GenerateListener): GenerateStream

    /** Sends a call of a plain service. [done] receives the answer, or null if the gRPC call failed. */
    fun callService(link: UpstreamLink, call: ServiceCall, done: (ServiceAnswer?) -> Unit)

    /** Asks the sidecar of [link] to seal an attempt, that is, to refuse it for good unless it has started. */
    fun seal(
        link: UpstreamLink,
        attemptId: String,
        incarnation: Long,
        done: (SealResult) -> Unit,
    )
}

/** Receives the events of one generation. */
internal interface GenerateListener {
    /** Handles one [event] of the stream. */
    fun event(event: GenerateEvent)

    /** Handles the end of the stream, which may come before the last event; [detail] is the reason. */
    fun ended(detail: String)
}

/** Controls the stream of a running generation. */
internal interface GenerateStream {
    /** Requests [count] more events. */
    fun request(count: Int)

    /** Cancels the generation. */
    fun cancel()

    companion object {
        /** Number of events that are requested when the stream is opened. */
        const val INITIAL_EVENTS = 64
    }
}

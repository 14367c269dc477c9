package org.medlarhook.entry.upstream

import org.medlarhook.core.claim.SealResult
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall

/** Calls of a sidecar. No call blocks; events come on the workers. */
internal interface SidecarClient {
    /** Starts a generation. */
    fun generate(link: UpstreamLink, request: GenerateRequest, listener: GenerateListener): GenerateStream

    /** Sends a call of a plain service; [done] gets null if the connection broke. */
    fun callService(link: UpstreamLink, call: ServiceCall, done: (ServiceAnswer?) -> Unit)

    /** Asks the sidecar of [link] to seal the attempt. */
    fun seal(
        link: UpstreamLink,
        attemptId: String,
        incarnation: Long,
        done: (SealResult) -> Unit,
    )
}

/** Hears the events of one generation. */
internal interface GenerateListener {
    /** An event came. */
    fun event(event: GenerateEvent)

    /** The stream has ended without or after its last event. */
    fun ended(detail: String)
}

/** The entry's side of a running generation. */
internal interface GenerateStream {
    /** Asks for [count] more events. */
    fun request(count: Int)

    /** Cancels the generation. */
    fun cancel()

    companion object {
        /** Events that may come before more are asked for. */
        const val EVENTS_AHEAD = 64
    }
}

package org.medlarhook.entry.control

import org.medlarhook.entry.upstream.GenerateListener
import org.medlarhook.entry.upstream.GenerateStream
import org.medlarhook.entry.upstream.SidecarClient
import org.medlarhook.entry.upstream.UpstreamLink
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall

/** Calls sidecars through [target], and passes the receipt of each finished attempt to [addCopy]. */
internal class ReceiptCopyingClient(
    private val target: SidecarClient,
    private val addCopy: (dataCentre: String, receipt: Receipt) -> Unit,
) : SidecarClient by target {
    override fun generate(link: UpstreamLink, request: GenerateRequest, listener: GenerateListener): GenerateStream =
        target.generate(link, request, Listener(link.registration.dataCentre, listener))

    override fun callService(link: UpstreamLink, call: ServiceCall, done: (ServiceAnswer?) -> Unit) =
        target.callService(link, call) { answer ->
            if (answer != null && answer.hasReceipt()) addCopy(link.registration.dataCentre, answer.receipt)
            done(answer)
        }

    private inner class Listener(
        private val dataCentre: String,
        private val next: GenerateListener,
    ) : GenerateListener by next {
        override fun event(event: GenerateEvent) {
            if (event.hasFinished() && event.finished.hasReceipt()) addCopy(dataCentre, event.finished.receipt)
            next.event(event)
        }
    }
}

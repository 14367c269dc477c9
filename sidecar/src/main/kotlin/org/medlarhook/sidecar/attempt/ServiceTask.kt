package org.medlarhook.sidecar.attempt

import org.medlarhook.core.attempt.AttemptWork
import org.medlarhook.core.attempt.SharedDispatcher
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.ports.TimeSource
import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.sidecar.receipt.ReceiptLog
import org.medlarhook.sidecar.rpc.UnaryResponder
import org.medlarhook.sidecar.rpc.toRefusal
import org.medlarhook.sidecar.service.ServiceAdapter

/**
 * A call to the plain service. A call that is not idempotent continues after its caller disconnects; a later seal
 * request returns its result.
 */
internal class ServiceTask(
    private val call: ServiceCall,
    private val responder: UnaryResponder<ServiceAnswer>,
    service: ServiceAdapter,
    private val dispatcher: SharedDispatcher<ServiceAnswer>,
    private val receipts: ReceiptLog,
    private val time: TimeSource,
) : AttemptTask {
    private val deadlineMs = time.monotonicMs() + call.remainingMs
    private val preparedCall = service.prepare(call, deadlineMs)

    override val work =
        AttemptWork(
            attemptId = call.attemptId,
            workspace = call.workspace,
            weight = maxOf(1, call.weight),
            priority = 0,
            promptTokens = 0,
            outputTokens = 1,
            deadlineMs = deadlineMs,
        )

    override fun run(): AttemptEnd {
        val startedAtMs = time.monotonicMs()
        val result = preparedCall.run()
        if (result.hasResponse()) dispatcher.updateSpeeds { recordDecode(1, time.monotonicMs() - startedAtMs) }
        val billed = if (result.hasResponse()) result.toBuilder().setReceipt(recordReceipt()).build() else result
        val code = if (result.hasResponse()) null else ResultCode.entries.first { it.number == result.refusal.code }
        return AttemptEnd(code, billed) { load -> responder.respond(billed.toBuilder().setLoad(load).build()) }
    }

    override fun refuse(failure: Failure) {
        responder.respond(ServiceAnswer.newBuilder().setRefusal(failure.toRefusal()).build())
    }

    override fun stop() {
        if (call.idempotent) preparedCall.cancel()
    }

    private fun recordReceipt(): Receipt =
        receipts.record(
            Receipt
                .newBuilder()
                .setWorkspace(call.workspace)
                .setRequestId(call.requestId)
                .setAttemptId(call.attemptId)
                .setResource(call.service)
                .setServiceCalls(1)
                .setFinishedAtMs(time.wallMs()),
        )
}

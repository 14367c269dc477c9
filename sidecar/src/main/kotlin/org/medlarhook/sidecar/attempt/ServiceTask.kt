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

/** A call of the plain service. One that is not idempotent runs on when its caller leaves, and a seal tells its end. */
internal class ServiceTask(
    private val call: ServiceCall,
    private val answer: UnaryResponder<ServiceAnswer>,
    service: ServiceAdapter,
    private val dispatcher: SharedDispatcher<ServiceAnswer>,
    private val receipts: ReceiptLog,
    private val time: TimeSource,
) : AttemptTask {
    private val deadlineMs = time.monotonicMs() + call.remainingMs
    private val prepared = service.prepare(call, deadlineMs)

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
        val result = prepared.run()
        if (result.hasResponse()) dispatcher.updateSpeeds { recordDecode(1, time.monotonicMs() - startedAtMs) }
        val billed = if (result.hasResponse()) result.toBuilder().setReceipt(bill()).build() else result
        val code = if (result.hasResponse()) null else ResultCode.entries.first { it.number == result.refusal.code }
        return AttemptEnd(code, billed) { load -> answer.give(billed.toBuilder().setLoad(load).build()) }
    }

    override fun refuse(failure: Failure) {
        answer.give(ServiceAnswer.newBuilder().setRefusal(failure.toRefusal()).build())
    }

    override fun stop() {
        if (call.idempotent) prepared.cancel()
    }

    private fun bill(): Receipt =
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

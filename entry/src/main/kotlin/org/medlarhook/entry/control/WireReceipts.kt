package org.medlarhook.entry.control

import org.medlarhook.core.usage.ReceiptSource
import org.medlarhook.core.usage.UsageReceipt
import org.medlarhook.protocol.Receipt

/** Converts a protobuf receipt to the type of the core. */
internal fun Receipt.toUsageReceipt(): UsageReceipt =
    UsageReceipt(
        source = ReceiptSource(upstreamId, incarnation),
        sequence = sequence,
        workspace = workspace,
        resource = resource,
        requestId = requestId,
        attemptId = attemptId,
        promptTokens = promptTokens,
        outputTokens = outputTokens,
        serviceCalls = serviceCalls,
        finishedAtMs = finishedAtMs,
    )

/** Converts a receipt of the core to its protobuf message. */
internal fun UsageReceipt.toMessage(): Receipt =
    Receipt
        .newBuilder()
        .setUpstreamId(source.upstreamId)
        .setIncarnation(source.incarnation)
        .setSequence(sequence)
        .setWorkspace(workspace)
        .setResource(resource)
        .setRequestId(requestId)
        .setAttemptId(attemptId)
        .setPromptTokens(promptTokens)
        .setOutputTokens(outputTokens)
        .setServiceCalls(serviceCalls)
        .setFinishedAtMs(finishedAtMs)
        .build()

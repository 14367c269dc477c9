package org.medlarhook.sidecar.operators

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.medlarhook.runtime.operators.StateDump
import org.medlarhook.sidecar.IncarnationContext
import org.medlarhook.sidecar.status.UpstreamState

/** The sidecar's part of the state dump. Contains no prompts, bodies or outputs. */
internal class SidecarDump(
    private val state: UpstreamState,
    private val context: () -> IncarnationContext?,
) : StateDump {
    override fun dump(nowMs: Long): JsonObject =
        buildJsonObject {
            put("incarnation", state.incarnation ?: 0)
            put("accepting", state.isAccepting)
            put("draining", state.isDraining)
            put("healthy", state.isHealthy)
            put("role", state.reported.role.name)
            put("orderGeneration", state.reported.orderGeneration)
            context()?.let { put("work", dumpWork(it, nowMs)) }
        }

    private fun dumpWork(context: IncarnationContext, nowMs: Long): JsonObject =
        buildJsonObject {
            val load = context.dispatcher.load
            put("running", load.running)
            put("queued", load.queued)
            put("slots", load.slots)
            put("queuedPrefillTokens", load.queuedPrefillTokens)
            put("queuedDecodeTokens", load.queuedDecodeTokens)
            put("prefillTokensPerS", load.prefillTokensPerS)
            put("decodeTokensPerS", load.decodeTokensPerS)
            put("attemptMemoryUsed", context.dispatcher.usedShare)
            put("openReceipts", context.receiptLogs.sumOf { it.uncollectedCount() })
            val attempts = context.runner.unfinishedAttempts().map { it.work }
            putJsonObject("attemptsByWorkspace") {
                attempts.groupingBy { it.workspace }.eachCount().forEach { (workspace, count) -> put(workspace, count) }
            }
            putJsonArray("attempts") {
                attempts.take(MAX_ATTEMPTS).forEach { work ->
                    addJsonObject {
                        put("attemptId", work.attemptId)
                        put("workspace", work.workspace)
                        put("promptTokens", work.promptTokens)
                        put("outputTokens", work.outputTokens)
                        put("remainingMs", work.deadlineMs - nowMs)
                    }
                }
            }
        }

    private companion object {
        const val MAX_ATTEMPTS = 500
    }
}

package org.medlarhook.entry.http

import org.medlarhook.core.call.CallHeader
import org.medlarhook.core.result.Failure
import org.medlarhook.entry.call.GenerationSink
import org.medlarhook.entry.call.Usage

/**
 * Sends the output of a generation as server-sent events. Before the first text or heartbeat, a failure is answered
 * with its status and problem details; after that, with an error event and no `[DONE]` marker.
 */
internal class StreamSink(
    private val exchange: Exchange,
    private val json: ChatJson,
    private val includesUsage: Boolean,
) : GenerationSink {
    @Volatile
    private var writer: ResponseWriter? = null

    override val isFull: Boolean
        get() = writer?.isFull ?: false

    override fun deliver(texts: List<String>) {
        openedWriter()?.write(json.chunk(texts).encodeToByteArray())
    }

    override fun finish(finishReason: String, usage: Usage) {
        val last = json.lastChunks(finishReason, usage.takeIf { includesUsage })
        openedWriter()?.let {
            it.write(last.encodeToByteArray())
            it.close()
        }
    }

    override fun fail(failure: Failure) {
        val open = writer
        if (open == null) {
            exchange.problem(failure)
        } else {
            open.write(json.errorEvent(failure).encodeToByteArray())
            open.close()
        }
    }

    override fun heartbeat() {
        openedWriter()?.write(ChatJson.HEARTBEAT.encodeToByteArray())
    }

    private fun openedWriter(): ResponseWriter? {
        writer?.let { return it }
        val opened = exchange.open(HTTP_OK, "text/event-stream", listOf(CallHeader("Cache-Control", "no-store")))
        writer = opened
        opened?.write(json.firstChunk().encodeToByteArray())
        return opened
    }

    private companion object {
        const val HTTP_OK = 200
    }
}

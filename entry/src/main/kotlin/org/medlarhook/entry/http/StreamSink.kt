package org.medlarhook.entry.http

import org.medlarhook.core.call.CallHeader
import org.medlarhook.core.result.Failure
import org.medlarhook.entry.call.GenerationSink
import org.medlarhook.entry.call.Usage

/**
 * Passes a generation on as server-sent events. Until the first text or heartbeat, a failure is an ordinary problem;
 * after that, an error event without the end mark.
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
        opened()?.write(json.chunk(texts).encodeToByteArray())
    }

    override fun finish(finishReason: String, usage: Usage) {
        val last = json.lastChunks(finishReason, usage.takeIf { includesUsage })
        opened()?.let {
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
        opened()?.write(ChatJson.COMMENT.encodeToByteArray())
    }

    private fun opened(): ResponseWriter? {
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

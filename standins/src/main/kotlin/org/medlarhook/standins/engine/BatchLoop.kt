package org.medlarhook.standins.engine

import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread

/**
 * Simulates continuous batching on one thread: each step decodes one token of each running stream and prefills a chunk
 * of prompt tokens, and lasts as long as both would take on an engine.
 */
internal class BatchLoop(
    private val options: EngineOptions,
    private val faults: () -> EngineFaults,
    private val isChangingRole: () -> Boolean,
    private val writers: Executor,
    private val onPrefilled: (EngineStream) -> String?,
) {
    private val lock = Object()
    private val waiting = ArrayList<EngineStream>()
    private val running = ArrayList<EngineStream>()
    private var lastLine = ""

    /** Output tokens generated since the start. */
    val generatedTokens = AtomicLong()

    /** Prompt tokens prefilled since the start. */
    val prefilledTokens = AtomicLong()

    /** Number of streams in the batch. */
    @Volatile
    var runningCount = 0
        private set

    /** Number of streams that wait for a batch slot. */
    val waitingCount: Int get() = synchronized(lock) { waiting.size }

    /** Queues [stream] for a batch slot. */
    fun submit(stream: EngineStream) {
        synchronized(lock) {
            waiting += stream
            lock.notifyAll()
        }
    }

    /** Cancels the stream of [attemptId]; returns false if there is none. */
    fun cancel(attemptId: String): Boolean =
        synchronized(lock) {
            val stream = (waiting + running).firstOrNull { it.body.attemptId == attemptId }
            stream?.end()
            stream?.let { flush(listOf(it)) }
            waiting.remove(stream)
            running.remove(stream) || stream != null
        }

    /** Starts the batch thread. */
    fun start() {
        thread(name = "batch", isDaemon = true) { loop() }
    }

    private fun loop() {
        var stepEndNanos = System.nanoTime()
        while (true) {
            awaitWork()
            val batch = admit()
            val prefilledNow = prefill(batch)
            val decoding = batch.filter { it.prefillTokensLeft == 0 }
            val durationNanos = (stepSeconds(decoding.size, prefilledNow) * NANOS_PER_S).toLong()
            stepEndNanos = maxOf(System.nanoTime() - MAX_CATCH_UP_NANOS, stepEndNanos) + durationNanos
            sleepUntil(stepEndNanos)
            decoding.forEach { decode(it) }
            flush(decoding)
        }
    }

    /** Each task of the writers sends a group of streams, so that a step submits few tasks. */
    private fun flush(streams: List<EngineStream>) {
        streams.chunked(STREAMS_PER_WRITER_TASK).forEach { group ->
            writers.execute { group.forEach { it.flush() } }
        }
    }

    private fun awaitWork() {
        synchronized(lock) {
            while (waiting.isEmpty() && running.isEmpty()) lock.wait()
        }
        while (faults().hang || isChangingRole()) Thread.sleep(POLL_INTERVAL_MS)
    }

    private fun admit(): List<EngineStream> =
        synchronized(lock) {
            running.removeAll { it.isCancelled }
            waiting.sortByDescending { it.body.priority }
            while (running.size < options.slots && waiting.isNotEmpty()) running += waiting.removeFirst()
            runningCount = running.size
            running.toList()
        }

    private fun prefill(batch: List<EngineStream>): Int {
        var budgetTokens = CHUNK_TOKENS
        batch.filter { it.prefillTokensLeft > 0 }.forEach { stream ->
            val chunkTokens = minOf(budgetTokens, stream.prefillTokensLeft)
            stream.prefillTokensLeft -= chunkTokens
            budgetTokens -= chunkTokens
        }
        prefilledTokens.addAndGet((CHUNK_TOKENS - budgetTokens).toLong())
        return CHUNK_TOKENS - budgetTokens
    }

    private fun stepSeconds(decoding: Int, prefillTokens: Int): Double {
        val decodeS =
            if (decoding == 0) 0.0 else (1 + (decoding - 1) * options.batchSlowdown) / options.decodeTokensPerS
        return faults().slowFactor * (decodeS + prefillTokens / options.prefillTokensPerS)
    }

    private fun sleepUntil(endNanos: Long) {
        while (true) {
            val remainingNanos = endNanos - System.nanoTime()
            if (remainingNanos <= 0) return
            LockSupport.parkNanos(remainingNanos)
        }
    }

    private fun decode(stream: EngineStream) {
        val kvHandle = onPrefilled(stream)
        if (kvHandle != null) return finish(stream, "prefilled", kvHandle)
        if (stream.nextIndex < stream.body.maxOutputTokens) emit(stream)
        val cutAfterTokens = faults().cutAfterTokens
        val emittedTokens = stream.nextIndex - stream.body.resumeFromToken
        when {
            stream.nextIndex >= stream.body.maxOutputTokens -> finish(stream, "length", kvHandle = "")
            cutAfterTokens in 1..emittedTokens -> remove(stream)
        }
    }

    private fun emit(stream: EngineStream) {
        val body = stream.body
        val index = stream.nextIndex++
        if (faults().crossLines && lastLine.isNotEmpty()) stream.add(lastLine)
        val line = """{"attemptId":"${body.attemptId}","index":$index,"text":"${tokenText(body, index)}"}""" + "\n"
        stream.add(line)
        lastLine = line
        generatedTokens.incrementAndGet()
    }

    private fun finish(stream: EngineStream, reason: String, kvHandle: String) {
        stream.add("""{"attemptId":"${stream.body.attemptId}","end":"$reason","kvHandle":"$kvHandle"}""" + "\n")
        remove(stream)
    }

    private fun remove(stream: EngineStream) {
        synchronized(lock) {
            running.remove(stream)
            runningCount = running.size
        }
        stream.end()
    }

    /** The text depends only on prompt and index, so that a resumed stream continues the text of the first one. */
    private fun tokenText(body: GenerateBody, index: Int): String =
        " w" + Math.floorMod(body.prompt.hashCode() + index * TOKEN_STRIDE, VOCABULARY)

    private companion object {
        const val NANOS_PER_S = 1_000_000_000.0

        /** A late step shortens the following steps by at most this time, which keeps the average speed. */
        const val MAX_CATCH_UP_NANOS = 5_000_000L

        const val CHUNK_TOKENS = 512
        const val POLL_INTERVAL_MS = 10L
        const val STREAMS_PER_WRITER_TASK = 16
        const val TOKEN_STRIDE = 7919
        const val VOCABULARY = 50_000
    }
}

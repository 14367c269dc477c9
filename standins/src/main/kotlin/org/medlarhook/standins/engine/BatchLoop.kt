package org.medlarhook.standins.engine

import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread

/**
 * Continuous batching on one thread: each step decodes one token of each running stream and prefills a chunk, and
 * takes the time that both cost.
 */
internal class BatchLoop(
    private val model: EngineModel,
    private val faults: () -> EngineFaults,
    private val isAway: () -> Boolean,
    private val writers: Executor,
    private val onPrefilled: (EngineStream) -> String?,
) {
    private val lock = Object()
    private val waiting = ArrayList<EngineStream>()
    private val running = ArrayList<EngineStream>()
    private var crossedLine = ""

    /** Output tokens generated so far. */
    val generatedTokens = AtomicLong()

    /** Prompt tokens prefilled so far. */
    val prefilledTokens = AtomicLong()

    /** Streams in the batch. */
    @Volatile
    var runningCount = 0
        private set

    /** Streams that wait for a slot. */
    val waitingCount: Int get() = synchronized(lock) { waiting.size }

    /** Adds a stream. */
    fun submit(stream: EngineStream) {
        synchronized(lock) {
            waiting += stream
            lock.notifyAll()
        }
    }

    /** Cancels the stream of [attemptId]; false if there is none. */
    fun cancel(attemptId: String): Boolean =
        synchronized(lock) {
            val stream = (waiting + running).firstOrNull { it.body.attemptId == attemptId }
            stream?.end()
            stream?.let { flush(listOf(it)) }
            waiting.remove(stream)
            running.remove(stream) || stream != null
        }

    /** Starts the thread. */
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
            stepEndNanos = maxOf(System.nanoTime() - LAG_NANOS, stepEndNanos) + durationNanos
            sleepUntil(stepEndNanos)
            decoding.forEach { decode(it) }
            flush(decoding)
        }
    }

    /** Each writer sends a share of the streams, so that a step costs few hand-overs. */
    private fun flush(streams: List<EngineStream>) {
        streams.chunked(STREAMS_PER_WRITE).forEach { share ->
            writers.execute { share.forEach { it.flush() } }
        }
    }

    private fun awaitWork() {
        synchronized(lock) {
            while (waiting.isEmpty() && running.isEmpty()) lock.wait()
        }
        while (faults().hang || isAway()) Thread.sleep(PAUSE_MS)
    }

    private fun admit(): List<EngineStream> =
        synchronized(lock) {
            running.removeAll { it.isCancelled }
            waiting.sortByDescending { it.body.priority }
            while (running.size < model.slots && waiting.isNotEmpty()) running += waiting.removeFirst()
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
        val decodeS = if (decoding == 0) 0.0 else (1 + (decoding - 1) * model.batchSlowdown) / model.decodeTokensPerS
        return faults().slowFactor * (decodeS + prefillTokens / model.prefillTokensPerS)
    }

    private fun sleepUntil(endNanos: Long) {
        while (true) {
            val leftNanos = endNanos - System.nanoTime()
            if (leftNanos <= 0) return
            LockSupport.parkNanos(leftNanos)
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
        if (faults().crossLines && crossedLine.isNotEmpty()) stream.add(crossedLine)
        val line = """{"attemptId":"${body.attemptId}","index":$index,"text":"${tokenText(body, index)}"}""" + "\n"
        stream.add(line)
        crossedLine = line
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

    /** The text depends on prompt and index alone, so that a resumed stream goes on as the first one would have. */
    private fun tokenText(body: GenerateBody, index: Int): String =
        " w" + Math.floorMod(body.prompt.hashCode() + index * TOKEN_STRIDE, VOCABULARY)

    private companion object {
        const val NANOS_PER_S = 1_000_000_000.0
        const val LAG_NANOS = 5_000_000L
        const val CHUNK_TOKENS = 512
        const val PAUSE_MS = 10L
        const val STREAMS_PER_WRITE = 16
        const val TOKEN_STRIDE = 7919
        const val VOCABULARY = 50_000
    }
}

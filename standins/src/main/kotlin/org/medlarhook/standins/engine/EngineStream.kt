package org.medlarhook.standins.engine

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean

/** One generation in the batch. The batch loop changes it and adds lines; a writer thread sends them. */
internal class EngineStream(
    val body: GenerateBody,
    var prefillTokensLeft: Int,
    private val output: OutputStream,
) {
    /** Completes when the answer is sent or the caller has left. */
    val done = CompletableFuture<Unit>()
    private val lines = StringBuilder()
    private val isWriting = AtomicBoolean()
    private var isEnded = false

    /** The next output index. */
    var nextIndex = body.resumeFromToken

    @Volatile
    var isCancelled = false
        private set

    /** Adds one line. */
    fun add(line: String) {
        synchronized(lines) { lines.append(line) }
    }

    /** Ends the answer after the lines that were added. */
    fun end(): Unit = synchronized(lines) { isEnded = true }

    /** Sends what has come together, unless another thread is at it. */
    fun flush() {
        if (isWriting.compareAndSet(false, true)) writeAll()
    }

    private fun writeAll() {
        try {
            while (true) {
                val text = take()
                if (text.isEmpty()) break
                output.write(text.encodeToByteArray())
                output.flush()
            }
        } catch (_: IOException) {
            isCancelled = true
        }
        isWriting.set(false)
        if (isCancelled || synchronized(lines) { isEnded && lines.isEmpty() }) done.complete(Unit)
        if (!isCancelled && synchronized(lines) { lines.isNotEmpty() }) flush()
    }

    private fun take(): String =
        synchronized(lines) {
            val text = lines.toString()
            lines.setLength(0)
            text
        }
}

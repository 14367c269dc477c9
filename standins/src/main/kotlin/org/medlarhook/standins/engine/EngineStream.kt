package org.medlarhook.standins.engine

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean

/** One generation in the batch. The batch loop updates it and adds response lines; a writer thread sends them. */
internal class EngineStream(
    val body: GenerateBody,
    var prefillTokensLeft: Int,
    private val output: OutputStream,
) {
    /** Completes when the response is sent or the client has disconnected. */
    val done = CompletableFuture<Unit>()
    private val lines = StringBuilder()
    private val isWriting = AtomicBoolean()
    private var isEnded = false

    /** Index of the next output token. */
    var nextIndex = body.resumeFromToken

    @Volatile
    var isCancelled = false
        private set

    /** Adds one line of the response; [flush] sends it. */
    fun add(line: String) {
        synchronized(lines) { lines.append(line) }
    }

    /** Ends the response after the lines that were added. */
    fun end(): Unit = synchronized(lines) { isEnded = true }

    /** Sends the added lines, unless another thread is sending them already. */
    fun flush() {
        if (isWriting.compareAndSet(false, true)) writeAll()
    }

    private fun writeAll() {
        try {
            while (true) {
                val text = drainLines()
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

    private fun drainLines(): String =
        synchronized(lines) {
            val text = lines.toString()
            lines.setLength(0)
            text
        }
}

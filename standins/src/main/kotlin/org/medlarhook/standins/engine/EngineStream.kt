package org.medlarhook.standins.engine

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicBoolean

/**
 * One generation in the batch. The batch loop changes it and adds lines; a writer thread sends what has come together.
 */
internal class EngineStream(
    val body: GenerateBody,
    var prefillTokensLeft: Int,
    private val output: OutputStream,
    private val writers: Executor,
) {
    /** Completes when the answer is sent or the caller has left. */
    val done = CompletableFuture<Unit>()
    private val lines = StringBuilder()
    private val isWriting = AtomicBoolean()
    private var isEnded = false

    /** The next output index. */
    var nextIndex = body.resumeFromToken

    /** The last line sent, for the fault that crosses lines. */
    var lastLine = ""

    @Volatile
    var isCancelled = false
        private set

    /** Adds one line. */
    fun add(line: String) {
        synchronized(lines) { lines.append(line) }
        lastLine = line
        write()
    }

    /** Ends the answer after the lines that were added. */
    fun end() {
        synchronized(lines) { isEnded = true }
        write()
    }

    private fun write() {
        if (isWriting.compareAndSet(false, true)) writers.execute(::writeAll)
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
        if (!isCancelled && synchronized(lines) { lines.isNotEmpty() }) write()
    }

    private fun take(): String =
        synchronized(lines) {
            val text = lines.toString()
            lines.setLength(0)
            text
        }
}

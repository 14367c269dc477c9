package org.medlarhook.entry.http

import jakarta.servlet.ServletOutputStream
import jakarta.servlet.WriteListener
import java.io.ByteArrayOutputStream
import java.io.IOException

/**
 * Writes a response body without blocking a thread. Bytes that are written while the connection is busy are buffered
 * and sent together once it is writable.
 */
internal class ResponseWriter(
    private val output: ServletOutputStream,
    private val maxBufferedBytes: Int,
    private val listener: Listener,
) : WriteListener {
    /** Receives the events of the connection. */
    interface Listener {
        /** The buffer has become empty after a write. */
        fun drained()

        /** Everything is written after [close]. */
        fun closed()

        /** The caller has disconnected. */
        fun disconnected()
    }

    private enum class Signal { NONE, DRAINED, CLOSED, DISCONNECTED }

    private val lock = Any()
    private var buffer = ByteArrayOutputStream()
    private var isOpen = false
    private var needsFlush = false
    private var isClosing = false
    private var isFinished = false

    @Volatile
    private var bufferedBytes = 0

    /** True while the buffer is at its limit, so that the writer's user should stop writing. */
    val isFull: Boolean
        get() = bufferedBytes >= maxBufferedBytes

    /** Starts writing whenever the connection is writable. */
    fun start(): Unit = output.setWriteListener(this)

    /** Writes [bytes] now, or once the connection is writable. */
    fun write(bytes: ByteArray) {
        signal(
            synchronized(lock) {
                buffer.write(bytes)
                bufferedBytes = buffer.size()
                writePending()
            },
        )
    }

    /** Ends the response after everything written so far. */
    fun close() {
        signal(
            synchronized(lock) {
                isClosing = true
                writePending()
            },
        )
    }

    override fun onWritePossible() {
        signal(
            synchronized(lock) {
                isOpen = true
                writePending()
            },
        )
    }

    override fun onError(cause: Throwable) {
        signal(synchronized(lock) { finish(Signal.DISCONNECTED) })
    }

    /** Writes while the connection is writable. Must be called under [lock]. */
    private fun writePending(): Signal {
        if (!isOpen || isFinished) return Signal.NONE
        return try {
            writeWhileReady()
        } catch (_: IOException) {
            finish(Signal.DISCONNECTED)
        }
    }

    private fun writeWhileReady(): Signal {
        var result = Signal.NONE
        while (output.isReady) {
            when {
                buffer.size() > 0 -> {
                    writeBuffer()
                    result = Signal.DRAINED
                }
                needsFlush -> flush()
                else -> return if (isClosing) finish(Signal.CLOSED) else result
            }
        }
        return result
    }

    private fun writeBuffer() {
        val bytes = buffer.toByteArray()
        buffer.reset()
        bufferedBytes = 0
        needsFlush = true
        output.write(bytes)
    }

    private fun flush() {
        needsFlush = false
        output.flush()
    }

    private fun finish(signal: Signal): Signal {
        if (isFinished) return Signal.NONE
        isFinished = true
        return signal
    }

    private fun signal(signal: Signal) {
        when (signal) {
            Signal.NONE -> Unit
            Signal.DRAINED -> listener.drained()
            Signal.CLOSED -> listener.closed()
            Signal.DISCONNECTED -> listener.disconnected()
        }
    }
}

package org.medlarhook.entry.http

import jakarta.servlet.ServletOutputStream
import jakarta.servlet.WriteListener
import java.io.ByteArrayOutputStream
import java.io.IOException

/**
 * Writes to a caller without holding a thread. What is written while the connection is busy goes out together as soon
 * as it is free.
 */
internal class ResponseWriter(
    private val output: ServletOutputStream,
    private val maxBufferedBytes: Int,
    private val listener: Listener,
) : WriteListener {
    /** Hears of the connection. */
    interface Listener {
        /** The buffer has become empty. */
        fun drained()

        /** All is written, after [close]. */
        fun closed()

        /** The caller has gone. */
        fun lost()
    }

    private enum class Signal { NONE, DRAINED, CLOSED, LOST }

    private val lock = Any()
    private var buffer = ByteArrayOutputStream()
    private var isOpen = false
    private var needsFlush = false
    private var isClosing = false
    private var isOver = false

    @Volatile
    private var bufferedBytes = 0

    /** True if no more should be written for now. */
    val isFull: Boolean
        get() = bufferedBytes >= maxBufferedBytes

    /** Starts to follow the connection. */
    fun start(): Unit = output.setWriteListener(this)

    /** Writes [bytes] now or as soon as the connection is free. */
    fun write(bytes: ByteArray) {
        signal(
            synchronized(lock) {
                buffer.write(bytes)
                bufferedBytes = buffer.size()
                pump()
            },
        )
    }

    /** Ends the response after all that was written. */
    fun close() {
        signal(
            synchronized(lock) {
                isClosing = true
                pump()
            },
        )
    }

    override fun onWritePossible() {
        signal(
            synchronized(lock) {
                isOpen = true
                pump()
            },
        )
    }

    override fun onError(cause: Throwable) {
        signal(synchronized(lock) { over(Signal.LOST) })
    }

    /** Writes as long as the connection takes it; called under the lock. */
    private fun pump(): Signal {
        if (!isOpen || isOver) return Signal.NONE
        return try {
            writeWhileReady()
        } catch (_: IOException) {
            over(Signal.LOST)
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
                else -> return if (isClosing) over(Signal.CLOSED) else result
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

    private fun over(signal: Signal): Signal {
        if (isOver) return Signal.NONE
        isOver = true
        return signal
    }

    private fun signal(signal: Signal) {
        when (signal) {
            Signal.NONE -> Unit
            Signal.DRAINED -> listener.drained()
            Signal.CLOSED -> listener.closed()
            Signal.LOST -> listener.lost()
        }
    }
}

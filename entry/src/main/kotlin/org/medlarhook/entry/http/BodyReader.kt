package org.medlarhook.entry.http

import jakarta.servlet.ReadListener
import jakarta.servlet.http.HttpServletRequest
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import java.io.ByteArrayOutputStream
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Reads a request body without blocking a thread, up to a maximum size and duration. */
internal class BodyReader(
    private val request: HttpServletRequest,
    private val maxBodyBytes: Long,
    private val listener: BodyListener,
) : ReadListener {
    private val input = request.inputStream
    private val content = ByteArrayOutputStream()
    private val buffer = ByteArray(BUFFER_BYTES)
    private val isDone = AtomicBoolean()
    private var timeout: ScheduledFuture<*>? = null

    /** Starts reading. If the body is not complete after [timeoutMs], the read fails. */
    fun start(scheduler: ScheduledExecutorService, timeoutMs: Long) {
        if (request.contentLengthLong > maxBodyBytes) {
            fail(ResultCode.BODY_TOO_LARGE)
            return
        }
        timeout = scheduler.schedule({ fail(ResultCode.BODY_TIMEOUT) }, timeoutMs, TimeUnit.MILLISECONDS)
        input.setReadListener(this)
    }

    override fun onDataAvailable() {
        while (!isDone.get() && input.isReady && !input.isFinished) {
            val count = input.read(buffer)
            if (count < 0) return
            content.write(buffer, 0, count)
            if (content.size() > maxBodyBytes) fail(ResultCode.BODY_TOO_LARGE)
        }
    }

    override fun onAllDataRead() {
        if (!isDone.compareAndSet(false, true)) return
        timeout?.cancel(false)
        listener.complete(content.toByteArray())
    }

    override fun onError(cause: Throwable) {
        fail(ResultCode.MALFORMED_BODY)
    }

    private fun fail(code: ResultCode) {
        if (!isDone.compareAndSet(false, true)) return
        timeout?.cancel(false)
        listener.failed(Failure(code, RunState.NOT_RUN))
    }

    private companion object {
        const val BUFFER_BYTES = 8_192
    }
}

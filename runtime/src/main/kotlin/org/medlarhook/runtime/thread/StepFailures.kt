package org.medlarhook.runtime.thread

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent

private val logger = KotlinLogging.logger {}

/** Counts failures of background work in a row, and logs each that differs from the one before, and their end. */
public class StepFailures(
    private val name: String,
) {
    private var lastCause: String? = null

    /** The number of failures since the last success. */
    public var count: Int = 0
        private set

    /** Runs [step], and returns false if it has thrown anything but an [InterruptedException]. */
    @Suppress("TooGenericExceptionCaught")
    public fun runCatching(step: () -> Unit): Boolean =
        try {
            step()
            succeeded()
            true
        } catch (interrupted: InterruptedException) {
            throw interrupted
        } catch (failure: Throwable) {
            failed(failure)
            false
        }

    private fun failed(failure: Throwable) {
        count++
        val cause = failure.toString().take(MAX_CAUSE_CHARS)
        if (cause != lastCause) {
            val at = failure.stackTrace.firstOrNull()?.toString()
            logger.warnEvent(LogEvent.BACKGROUND_STEP_FAILED, "work" to name, "cause" to cause, "at" to at)
        }
        lastCause = cause
    }

    private fun succeeded() {
        if (count > 0) logger.event(LogEvent.BACKGROUND_STEP_RECOVERED, "work" to name, "failures" to count)
        count = 0
        lastCause = null
    }

    private companion object {
        const val MAX_CAUSE_CHARS = 300
    }
}

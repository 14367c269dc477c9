package org.medlarhook.serving.call

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.serving.pressure.PendingOutput
import org.medlarhook.core.serving.pressure.SlowReaders
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent

private val logger = KotlinLogging.logger {}

/** A connection to a caller, as a holder of output that it has not written yet. */
internal interface OutputHolder {
    /** Resets the connection, so that the caller can't mistake a truncated answer for a complete one. */
    fun abort()
}

/**
 * Accounts for the output that was handed to callers' connections and is not written yet, and ends slow ones when it
 * needs room: see [SlowReaders]. Used on the event loop only.
 */
internal class UnwrittenOutput(
    private val maxBytes: Long,
    private val time: TimeSource,
) {
    private val held = LinkedHashMap<OutputHolder, PendingOutput<OutputHolder>>()

    /** What all connections hold. */
    var bytes = 0L
        private set

    /** Records that [addedBytes] were handed to [holder]. */
    fun handed(holder: OutputHolder, addedBytes: Long) {
        bytes += addedBytes
        val before = held[holder] ?: PendingOutput(holder, 0, time.monotonicMs())
        held[holder] = before.copy(bytes = before.bytes + addedBytes)
        makeRoom(keptBytes = 0)
    }

    /** Records that [holder] has written [writtenBytes], or discarded them with its connection. */
    fun written(holder: OutputHolder, writtenBytes: Long) {
        bytes -= writtenBytes
        val left = held[holder]?.let { it.copy(bytes = it.bytes - writtenBytes) } ?: return
        if (left.bytes > 0) held[holder] = left else held -= holder
    }

    /** Ends slow connections until what is unwritten fits beside [keptBytes], as far as there are any. */
    fun makeRoom(keptBytes: Long) {
        val excessBytes = bytes + keptBytes - maxBytes
        if (excessBytes <= 0) return
        val nowMs = time.monotonicMs()
        SlowReaders.toEnd(held.values, excessBytes, nowMs).forEach {
            logger.warnEvent(LogEvent.SLOW_CALLER_ENDED, "bytes" to it.bytes, "ageMs" to nowMs - it.sinceMs)
            it.connection.abort()
        }
    }
}

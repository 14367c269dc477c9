package org.medlarhook.runtime.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.LongAdder

/**
 * An appender that writes lines in a thread of its own and counts the lines that it drops instead of blocking the
 * caller: lines up to level info when the queue is nearly full, others only when it is full.
 */
public class CountingAsyncAppender : AsyncAppender() {
    override fun isDiscardable(
        event: ILoggingEvent,
    ): Boolean = super.isDiscardable(event).also { if (it) dropped.increment() }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0 && !super.isDiscardable(event)) dropped.increment()
        super.append(event)
    }

    public companion object {
        private val dropped = LongAdder()

        /** Number of log lines dropped since the process started. */
        public val droppedLines: Long get() = dropped.sum()
    }
}

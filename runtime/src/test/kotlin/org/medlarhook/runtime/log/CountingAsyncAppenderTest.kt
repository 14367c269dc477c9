package org.medlarhook.runtime.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CountingAsyncAppenderTest {
    private val mayWrite = CountDownLatch(1)
    private val written = CopyOnWriteArrayList<ILoggingEvent>()
    private val loggers = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }
    private val blockedWriter =
        object : AppenderBase<ILoggingEvent>() {
            override fun append(event: ILoggingEvent) {
                mayWrite.await(10, TimeUnit.SECONDS)
                written += event
            }
        }.apply { start() }
    private val appender =
        CountingAsyncAppender().apply {
            context = loggers
            queueSize = QUEUE
            discardingThreshold = QUEUE / 4
            isNeverBlock = true
            addAppender(blockedWriter)
            start()
        }

    @AfterTest
    fun stop() {
        mayWrite.countDown()
        appender.stop()
    }

    private fun log(level: Level) =
        appender.doAppend(
            LoggingEvent("test", loggers.getLogger("test"), level, "line", null, null),
        )

    private fun awaitEmptyQueue() {
        val endNs = System.nanoTime() + 5_000_000_000
        while (appender.numberOfElementsInQueue > 0 && System.nanoTime() < endNs) Thread.sleep(10)
        Thread.sleep(100)
    }

    @Test
    fun `Given a blocked writer, then info lines are dropped first and counted, and no caller blocks`() {
        val before = CountingAsyncAppender.droppedLines
        val startedNs = System.nanoTime()
        repeat(QUEUE * 2) { log(Level.INFO) }
        repeat(QUEUE / 8) { log(Level.WARN) }
        val tookMs = (System.nanoTime() - startedNs) / 1_000_000
        mayWrite.countDown()
        awaitEmptyQueue()

        assertTrue(tookMs < 1_000, "logging took $tookMs ms, expected less than 1000 ms")
        assertEquals(QUEUE / 8, written.count { it.level == Level.WARN })
        assertEquals((QUEUE * 2 + QUEUE / 8).toLong(), written.size + CountingAsyncAppender.droppedLines - before)
    }

    private companion object {
        const val QUEUE = 64
    }
}

package org.medlarhook.runtime.thread

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import org.junit.jupiter.api.AfterEach
import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StepThreadTest {
    private val root = LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as Logger
    private val log = ListAppender<ILoggingEvent>().apply { start() }.also { root.addAppender(it) }

    @Volatile
    private var isStopped = false

    @AfterEach
    fun close() {
        isStopped = true
        root.detachAppender(log)
    }

    private fun eventsOf(work: String) =
        log.list.toList().map { line -> line.keyValuePairs.orEmpty().associate { it.key to it.value } }
            .filter { it["work"] == work }.map { it["event"] }

    @Test
    fun `Given steps that throw errors and exceptions, then the thread goes on and each failure is handled`() {
        val failures = listOf(StackOverflowError(), OutOfMemoryError("heap"), IllegalStateException("state"))
        val turns = AtomicInteger()
        val handled = AtomicInteger()
        val reached = CountDownLatch(1)
        StepThread("mixed", { isStopped }, onFailure = { handled.incrementAndGet() }) {
            failures.getOrNull(turns.getAndIncrement())?.let { throw it }
            reached.countDown()
            Thread.sleep(5)
        }.start()

        assertTrue(reached.await(5, TimeUnit.SECONDS))
        Thread.sleep(20)
        assertEquals(3, handled.get())
        assertEquals(listOf<Any?>(701, 701, 701, 702), eventsOf("mixed"))
    }

    @Test
    fun `Given a step that throws at each turn, then the thread pauses and logs the failure once`() {
        val turns = AtomicInteger()
        StepThread("failing", { isStopped }) {
            turns.incrementAndGet()
            error("always")
        }.start()
        Thread.sleep(1_000)

        assertTrue(turns.get() in 1..6, "${turns.get()} turns in a second")
        assertEquals(listOf<Any?>(701), eventsOf("failing"))
    }

    @Test
    fun `Given failures in a row, then the pause doubles up to two seconds`() {
        assertEquals(listOf(100L, 200L, 400L, 800L, 1_600L, 2_000L, 2_000L), (1..7).map { StepThread.pauseMs(it) })
        assertEquals(2_000L, StepThread.pauseMs(Int.MAX_VALUE))
    }
}

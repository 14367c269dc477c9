package org.medlarhook.entry.http

import org.junit.jupiter.api.AfterEach
import org.medlarhook.core.result.ResultCode
import org.medlarhook.entry.FakeSidecarServer
import org.medlarhook.entry.HttpAnswer
import org.medlarhook.entry.TestEntry
import org.medlarhook.entry.TestEntry.Companion.await
import org.medlarhook.runtime.settings.ShutdownSettings
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests over HTTP to an entry that drains, with a sidecar that the tests script. */
class DrainTest {
    private val entry =
        TestEntry(shutdown = ShutdownSettings(balancerWaitMs = BALANCER_WAIT_MS, finishLimitMs = FINISH_LIMIT_MS))
    private val sidecar = FakeSidecarServer()

    @AfterEach
    fun close() {
        sidecar.close()
        entry.close()
    }

    /** Begins to drain, and returns the result of the drain once `/readyz` fails. */
    private fun draining(): CompletableFuture<Boolean> {
        val stopped = CompletableFuture.supplyAsync { entry.pipeline.stop() }
        await("the entry was still ready after 10 s") { entry.send("GET", "/readyz").status == 503 }
        return stopped
    }

    private fun deadline(ms: Long) = mapOf("X-Deadline-Ms" to "$ms")

    private fun assertRefusedAsDraining(answer: HttpAnswer) {
        assertEquals(503, answer.status, answer.body)
        assertEquals(ResultCode.DRAINING.number, answer.code)
        assertEquals("not-run", answer.run)
        assertEquals(listOf("1"), answer.headers["retry-after"])
    }

    @Test
    fun `Given a draining entry, then a generation is run only if its deadline lies within the drain`() {
        entry.register("upstream-1", sidecar)
        val stopped = draining()
        val late = entry.chat(""","max_tokens":1""", headers = deadline(LATE_DEADLINE_MS))
        val lateByDefault = entry.chat(""","max_tokens":1""")
        val inTime = entry.chat(""","max_tokens":2""", headers = deadline(FINISH_LIMIT_MS))

        assertRefusedAsDraining(late)
        assertRefusedAsDraining(lateByDefault)
        assertEquals(200, inTime.status, inTime.body)
        assertEquals(listOf(2), sidecar.generations.map { it.maxOutputTokens })
        assertTrue(stopped.get(10, TimeUnit.SECONDS))
    }

    @Test
    fun `Given a draining entry, then a service call is run only if its deadline lies within the drain`() {
        entry.register("upstream-1", sidecar)
        val stopped = draining()
        val late = entry.send("POST", "/services/desk/bookings", "{}", headers = deadline(LATE_DEADLINE_MS))
        val inTime = entry.send("POST", "/services/desk/bookings", "{}", headers = deadline(FINISH_LIMIT_MS))

        assertRefusedAsDraining(late)
        assertEquals(201, inTime.status, inTime.body)
        assertEquals(1, sidecar.calls.size)
        assertTrue(stopped.get(10, TimeUnit.SECONDS))
    }

    private companion object {
        const val BALANCER_WAIT_MS = 2_000L
        const val FINISH_LIMIT_MS = 2_000L

        /** Lies after the end of the drain, whenever the request arrives. */
        const val LATE_DEADLINE_MS = 60_000L
    }
}

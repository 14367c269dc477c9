package org.medlarhook.entry.http

import org.junit.jupiter.api.AfterEach
import org.medlarhook.core.result.ResultCode
import org.medlarhook.entry.FakeSidecarServer
import org.medlarhook.entry.TestEntry
import org.medlarhook.entry.TestEntry.Companion.KEY
import org.medlarhook.entry.TestEntry.Companion.MESSAGES
import org.medlarhook.entry.TestEntry.Companion.await
import org.medlarhook.runtime.settings.ShutdownSettings
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Requests that still run when the drain of an entry ends, with a sidecar that the tests script. */
class CutOffTest {
    private val entry = TestEntry(shutdown = ShutdownSettings(balancerWaitMs = 100, finishLimitMs = 300))
    private val sidecar = FakeSidecarServer()

    @AfterEach
    fun close() {
        sidecar.close()
        entry.close()
    }

    private fun chatBody(extra: String) = """{"model":"lamp",$MESSAGES$extra}"""

    /** Sends a request, stops the entry once [isRunning], and returns all that the caller receives until the end. */
    private fun answerAfterStop(path: String, body: String, version: String = "1.1", isRunning: () -> Boolean): String =
        Socket("127.0.0.1", entry.pipeline.port).use { socket ->
            socket.soTimeout = 10_000
            val head = "POST $path HTTP/$version\r\nHost: a\r\nAuthorization: Bearer $KEY\r\n"
            socket.getOutputStream().write("${head}Content-Length: ${body.length}\r\n\r\n$body".encodeToByteArray())
            val received = CompletableFuture.supplyAsync { received(socket) }
            await("the request did not run within 10 s", isRunning)
            assertFalse(entry.pipeline.stop())
            received.get(10, TimeUnit.SECONDS)
        }

    /** All bytes until the connection ends, with a mark if it was reset. */
    private fun received(socket: Socket): String {
        val text = StringBuilder()
        try {
            while (true) {
                val byte = socket.getInputStream().read()
                if (byte < 0) return text.toString()
                text.append(byte.toChar())
            }
        } catch (e: IOException) {
            return "$text<${e.message}>"
        }
    }

    @Test
    fun `Given a generation that was sent, when the drain ends, then its caller gets 502 and that it may have run`() {
        entry.register("upstream-1", sidecar)
        sidecar.onGenerate = { _, _ -> }
        val answer = answerAfterStop("/v1/chat/completions", chatBody("")) { sidecar.generations.size == 1 }
        assertEquals("HTTP/1.1 502 Bad Gateway", answer.lineSequence().first())
        assertContains(answer, """"run":"unknown"""")
        assertContains(answer, """"code":${ResultCode.UPSTREAM_FAILED.number}""")
    }

    @Test
    fun `Given a service call that was sent, when the drain ends, then its caller gets 502 and that it may have run`() {
        entry.register("upstream-1", sidecar)
        sidecar.onCall = { _, _ -> }
        val answer = answerAfterStop("/services/desk/bookings", "{}") { sidecar.calls.size == 1 }
        assertEquals("HTTP/1.1 502 Bad Gateway", answer.lineSequence().first())
        assertContains(answer, """"run":"unknown"""")
        assertContains(answer, """"code":${ResultCode.OUTCOME_UNKNOWN.number}""")
    }

    @Test
    fun `Given a stream that has begun, when the drain ends, then it ends with an error event and no DONE marker`() {
        entry.register("upstream-1", sidecar)
        sidecar.onGenerate = { _, events -> events.onNext(FakeSidecarServer.token(0)) }
        val answer =
            answerAfterStop("/v1/chat/completions", chatBody(""","stream":true""")) { sidecar.generations.size == 1 }
        assertContains(answer, "t0 ")
        assertContains(answer, """"run":"run"""")
        assertFalse("[DONE]" in answer)
    }

    @Test
    fun `Given a stream whose end is the end of its connection, when the drain ends, then it has an error event`() {
        entry.register("upstream-1", sidecar)
        sidecar.onGenerate = { _, events -> events.onNext(FakeSidecarServer.token(0)) }
        val answer =
            answerAfterStop("/v1/chat/completions", chatBody(""","stream":true"""), version = "1.0") {
                sidecar.generations.size == 1
            }
        assertContains(answer, "t0 ")
        assertContains(answer, """"run":"run"""")
        assertFalse("[DONE]" in answer)
    }
}

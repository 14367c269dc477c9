package org.medlarhook.sidecar.engine

import arrow.core.Either
import io.javalin.Javalin
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.runtime.settings.EngineSettings
import org.medlarhook.sidecar.lifecycle.Workers
import java.net.HttpURLConnection
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HttpEngineAdapterTest {
    private val timer = Workers.timer()
    private val received = ArrayList<EngineToken>()
    private var server: Javalin? = null

    @AfterTest
    fun stop() {
        server?.stop()
        timer.shutdownNow()
    }

    private fun serve(status: Int, body: String): String {
        val engine = Javalin.create { config -> config.routes.post("/<path>") { it.status(status).result(body) } }
        server = engine.start("127.0.0.1", 0)
        val url = "http://127.0.0.1:${engine.port()}"
        awaitFirstAnswer(url)
        return url
    }

    /** Sends one request first: in a new JVM the first answer can take longer than the adapter's 400 ms timeouts. */
    private fun awaitFirstAnswer(url: String) {
        val call = URI("$url/first").toURL().openConnection() as HttpURLConnection
        call.requestMethod = "POST"
        call.responseCode
    }

    private fun generate(url: String, deadlineMs: Long = 5_000): Either<Failure, EngineEnd> {
        val settings = EngineSettings(url, listOf("m"), firstByteTimeoutMs = 400, betweenTokenTimeoutMs = 400)
        val request = EngineRequest("a", "m", "", "p", 1, 3, resumeFromToken = 0, priority = 0)
        val sink =
            object : TokenSink {
                override fun onToken(token: EngineToken) = received.add(token)

                override fun onPause() = Unit
            }
        return HttpEngineAdapter(settings, SilenceWatchdog(timer), SystemTimeSource)
            .prepare(request, SystemTimeSource.monotonicMs() + deadlineMs)
            .run(sink)
    }

    private fun token(index: Int, attemptId: String = "a") =
        """{"attemptId":"$attemptId","index":$index,"text":"t$index"}""" + "\n"

    private val end = """{"attemptId":"a","end":"length"}""" + "\n"

    private fun assertFailure(code: ResultCode, runState: RunState, result: Either<Failure, EngineEnd>) {
        val failure = assertIs<Either.Left<Failure>>(result).value
        assertEquals(code to runState, failure.code to failure.runState)
    }

    @Test
    fun `Given duplicate lines and lines of another attempt, then each token is delivered once and in order`() {
        val lines =
            token(0) + token(1, "other") + token(0) + """{"attemptId":"other","end":"x"}""" + "\n" + token(1) + end
        val result = generate(serve(200, lines))
        assertIs<Either.Right<EngineEnd>>(result, result.toString())
        assertEquals(listOf(0, 1), received.map { it.index })
    }

    @Test
    fun `Given a gap in the token indexes, then the call fails with run state RUN`(): Unit =
        assertFailure(ResultCode.UPSTREAM_FAILED, RunState.RUN, generate(serve(200, token(0) + token(2) + end)))

    @Test
    fun `Given a stream without an end line, then the call fails with run state RUN`(): Unit =
        assertFailure(ResultCode.UPSTREAM_FAILED, RunState.RUN, generate(serve(200, token(0))))

    @Test
    fun `Given a refusal by the engine, then the run state is NOT_RUN`(): Unit =
        assertFailure(ResultCode.UPSTREAM_REFUSED, RunState.NOT_RUN, generate(serve(503, "")))

    @Test
    fun `Given a closed port, then the run state is NOT_RUN`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        assertFailure(ResultCode.UPSTREAM_FAILED, RunState.NOT_RUN, generate("http://127.0.0.1:$port"))
    }

    @Test
    fun `Given a listener that never answers, then the call fails within 3 s with run state UNKNOWN`() {
        ServerSocket(0, 5, InetAddress.getLoopbackAddress()).use { silent ->
            val startedMs = SystemTimeSource.monotonicMs()
            assertFailure(
                ResultCode.UPSTREAM_FAILED,
                RunState.UNKNOWN,
                generate("http://127.0.0.1:${silent.localPort}"),
            )
            assertEquals(true, SystemTimeSource.monotonicMs() - startedMs in 300..3_000)
        }
    }

    @Test
    fun `Given a deadline before the first-byte timeout, then the failure is DEADLINE_EXCEEDED`() {
        // In a new JVM the first request of the adapter may take longer to be sent than the deadline allows.
        generate(serve(200, end))
        ServerSocket(0, 5, InetAddress.getLoopbackAddress()).use { silent ->
            val result = generate("http://127.0.0.1:${silent.localPort}", deadlineMs = 100)
            assertFailure(ResultCode.DEADLINE_EXCEEDED, RunState.UNKNOWN, result)
        }
    }

    @Test
    fun `Given statuses 200, 409 and 500 to an order, then the reply is done, refused or unknown`() {
        val action = EngineAction.SetRole("decode")
        val done = HttpEngineOrderClient(serve(200, ""), 500).apply(action, 1)
        server?.stop()
        val refused = HttpEngineOrderClient(serve(409, ""), 500).apply(action, 1)
        server?.stop()
        val unknown = HttpEngineOrderClient(serve(500, ""), 500).apply(action, 1)
        assertEquals(EngineReply.Done, done)
        assertIs<EngineReply.Refused>(refused)
        assertIs<EngineReply.Unknown>(unknown)
    }
}

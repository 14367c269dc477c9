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

    /** A server's first answer comes from cold code, which may take longer than the adapter's silence limit. */
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
    fun `Given late and crossed lines, then each token comes once and in order`() {
        val lines =
            token(0) + token(1, "other") + token(0) + """{"attemptId":"other","end":"x"}""" + "\n" + token(1) + end
        val result = generate(serve(200, lines))
        assertIs<Either.Right<EngineEnd>>(result, result.toString())
        assertEquals(listOf(0, 1), received.map { it.index })
    }

    @Test
    fun `Given a left out token, then the stream fails as run`(): Unit =
        assertFailure(ResultCode.UPSTREAM_FAILED, RunState.RUN, generate(serve(200, token(0) + token(2) + end)))

    @Test
    fun `Given no end mark, then the stream fails as run`(): Unit =
        assertFailure(ResultCode.UPSTREAM_FAILED, RunState.RUN, generate(serve(200, token(0))))

    @Test
    fun `Given a refusal by the engine, then it was not run`(): Unit =
        assertFailure(ResultCode.UPSTREAM_REFUSED, RunState.NOT_RUN, generate(serve(503, "")))

    @Test
    fun `Given nobody listens, then it was not run`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        assertFailure(ResultCode.UPSTREAM_FAILED, RunState.NOT_RUN, generate("http://127.0.0.1:$port"))
    }

    @Test
    fun `Given a listener that accepts and never answers, then it fails in time as unknown`() {
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
    fun `Given a deadline before the silence limit, then the deadline is named`() {
        ServerSocket(0, 5, InetAddress.getLoopbackAddress()).use { silent ->
            val result = generate("http://127.0.0.1:${silent.localPort}", deadlineMs = 100)
            assertFailure(ResultCode.DEADLINE_EXCEEDED, RunState.UNKNOWN, result)
        }
    }

    @Test
    fun `Given orders, then the reply tells done, refused and unknown apart`() {
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

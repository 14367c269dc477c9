package org.medlarhook.sidecar.service

import io.javalin.Javalin
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.protocol.RunState
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.runtime.settings.ServiceSettings
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class ServiceAdapterTest {
    private val executions = AtomicInteger()
    private val server =
        Javalin
            .create { config ->
                config.routes.post("/retry-at-once") {
                    executions.incrementAndGet()
                    it.status(503).header("Retry-After", "0")
                }
                config.routes.post("/moved") {
                    executions.incrementAndGet()
                    it.status(307).header("Location", "/moved")
                }
                config.routes.post("/large") { it.result("x".repeat(2_000)) }
            }.start("127.0.0.1", 0)
    private val url = "http://127.0.0.1:${server.port()}"

    @AfterTest
    fun stop() {
        server.stop()
    }

    private fun call(path: String, remainingMs: Long = 2_000): ServiceAnswer {
        val settings = ServiceSettings(url, listOf("s"), maxAnswerBytes = 1_000)
        val call = ServiceCall.newBuilder().setMethod("POST").setPathAndQuery(path).build()
        return ServiceAdapter(settings, SystemTimeSource)
            .prepare(call, SystemTimeSource.monotonicMs() + remainingMs)
            .run()
    }

    @Test
    fun `Given a 503 with Retry-After 0, then the call is sent once`() {
        assertEquals(503, call("/retry-at-once").response.status)
        assertEquals(1, executions.get())
    }

    @Test
    fun `Given a plain OkHttp client, then the same answer makes it send the call twice`() {
        val plainClient = OkHttpClient.Builder().retryOnConnectionFailure(false).followRedirects(false).build()
        val request = Request.Builder().url("$url/retry-at-once").post("".toRequestBody()).build()
        plainClient.newCall(request).execute().close()
        assertEquals(2, executions.get())
    }

    @Test
    fun `Given a redirect, then it is returned and not followed`() {
        assertEquals(307, call("/moved").response.status)
        assertEquals(1, executions.get())
    }

    @Test
    fun `Given a deadline that has passed, then nothing is sent`() {
        assertEquals(RunState.NOT_RUN, call("/moved", remainingMs = 0).refusal.runState)
        assertEquals(0, executions.get())
    }

    @Test
    fun `Given an answer over the size limit, then the refusal has run state RUN`(): Unit =
        assertEquals(RunState.RUN, call("/large").refusal.runState)
}

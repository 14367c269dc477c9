package org.medlarhook.sidecar.service

import org.junit.jupiter.api.AfterEach
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.runtime.settings.ServiceSettings
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against an answer that ends in its head, or goes on as another one there, passed on as a success. */
class SecondAnswerInHeadTest {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))

    @Volatile
    private var parts = emptyList<String>()

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                socket.use {
                    while (it.getInputStream().read() != '\n'.code || it.getInputStream().read() != '\r'.code) continue
                    for (part in parts) {
                        it.getOutputStream().write(part.toByteArray())
                        Thread.sleep(GAP_MS)
                    }
                    it.shutdownOutput()
                }
            }
        }
    }

    @AfterEach
    fun close() = server.close()

    private fun call(vararg written: String): ServiceAnswer {
        parts = written.toList()
        val settings = ServiceSettings("http://127.0.0.1:${server.localPort}", listOf("s"), maxAnswerBytes = 1_000)
        val call = ServiceCall.newBuilder().setMethod("GET").setPathAndQuery("/x").build()
        return ServiceAdapter(
            settings,
            SystemTimeSource,
        ).prepare(call, SystemTimeSource.monotonicMs() + DEADLINE_MS).run()
    }

    private fun answered(status: Int, head: String, vararg behind: String): List<String> =
        (1..<head.length).map { head.take(it) }.filter { call(it, *behind).response.status == status }

    @Test
    fun `Given an error behind any part of a success's head, then it is no success`() {
        assertEquals(504, call(ERROR).response.status)
        assertEquals(emptyList(), answered(200, HEAD, ERROR))
    }

    @Test
    fun `Given a success behind any part of a rejection's head, then it is no rejection`() {
        assertEquals(503, call(REJECTION).response.status)
        assertEquals(emptyList(), answered(503, REJECTION, HEAD))
    }

    @Test
    fun `Given a connection that ends inside a head, then it is no success`() {
        assertEquals(200, call(HEAD).response.status)
        assertEquals(emptyList(), answered(200, HEAD))
    }

    private companion object {
        const val HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Version: 1\r\nContent-Length: 0\r\n\r\n"
        const val ERROR = "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 4\r\n\r\nlate"
        const val REJECTION = "HTTP/1.1 503 Unavailable\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"
        const val GAP_MS = 3L
        const val DEADLINE_MS = 2_000L
    }
}

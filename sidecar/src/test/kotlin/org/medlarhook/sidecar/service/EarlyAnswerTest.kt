package org.medlarhook.sidecar.service

import com.google.protobuf.ByteString
import org.junit.jupiter.api.AfterEach
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.protocol.RunState
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.runtime.settings.ServiceSettings
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Guards against a part of an answer taken for whole because the service ended while the upload was being written. */
class EarlyAnswerTest {
    private val server = ServerSocket(0).apply { receiveBufferSize = SMALL_BUFFER_BYTES }

    @Volatile
    private var head = ""

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                socket.use {
                    while (it.getInputStream().read() != '\n'.code || it.getInputStream().read() != '\r'.code) continue
                    it.getOutputStream().write("${head}PART".toByteArray())
                    it.shutdownOutput()
                    Thread.sleep(UNREAD_MS)
                }
            }
        }
    }

    @AfterEach
    fun close() = server.close()

    private fun call(answerHead: String, bodyBytes: Int): ServiceAnswer {
        head = "$answerHead\r\n"
        val settings = ServiceSettings("http://127.0.0.1:${server.localPort}", listOf("s"), maxAnswerBytes = 1_000)
        val call = ServiceCall.newBuilder().setMethod("POST").setPathAndQuery("/x")
        call.body = ByteString.copyFrom(ByteArray(bodyBytes))
        val deadlineMs = SystemTimeSource.monotonicMs() + DEADLINE_MS
        return ServiceAdapter(settings, SystemTimeSource).prepare(call.build(), deadlineMs).run()
    }

    @Test
    fun `Given an unframed answer that ends before the upload is written, then the outcome is unknown`() {
        repeat(TRIES) {
            for (status in listOf("200 OK", "413 Payload Too Large")) {
                assertFalse(call("HTTP/1.1 $status\r\n", LARGE_BODY_BYTES).hasResponse(), status)
            }
        }
    }

    @Test
    fun `Given a framed error before the upload is written, or an upload that is written, then it is passed on`() {
        assertEquals(413, call("HTTP/1.1 413 Large\r\nContent-Length: 4\r\n", LARGE_BODY_BYTES).response.status)
        assertEquals(200, call("HTTP/1.1 200 OK\r\n", 0).response.status)
    }

    @Test
    fun `Given a status that is not three digits from 100 to 599, then the outcome is unknown`() {
        for (status in listOf("000", "099", "-1", "600", "999", "1000")) {
            val answer = call("HTTP/1.1 $status Odd\r\nContent-Length: 4\r\n", 0)
            assertEquals(RunState.UNKNOWN, answer.refusal.runState, status)
        }
    }

    private companion object {
        const val TRIES = 3
        const val SMALL_BUFFER_BYTES = 65_536
        const val LARGE_BODY_BYTES = 8_000_000
        const val UNREAD_MS = 60L
        const val DEADLINE_MS = 2_000L
    }
}

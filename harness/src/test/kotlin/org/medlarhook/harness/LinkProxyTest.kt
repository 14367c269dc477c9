package org.medlarhook.harness

import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class LinkProxyTest {
    private val echo = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    private val link = LinkProxy(echo.localPort)

    init {
        thread(isDaemon = true) { while (acceptOne()) Unit }
    }

    private fun acceptOne(): Boolean =
        try {
            serve(echo.accept())
            true
        } catch (_: IOException) {
            false
        }

    private fun serve(socket: Socket) {
        thread(isDaemon = true) { socket.getInputStream().transferTo(socket.getOutputStream()) }
    }

    private fun connect() = Socket(InetAddress.getLoopbackAddress(), link.port).also { it.soTimeout = 300 }

    private fun Socket.echoed(byte: Int): Int {
        getOutputStream().write(byte)
        return getInputStream().read()
    }

    @AfterTest
    fun close() {
        link.close()
        echo.close()
    }

    @Nested
    inner class Modes {
        @Test
        fun `Given an open link, then traffic passes`() {
            assertEquals(7, connect().echoed(7))
        }

        @Test
        fun `Given a link that is cut, then open connections are closed`() {
            val socket = connect()
            socket.echoed(1)
            link.change(LinkMode.CUT)
            assertEquals(-1, runCatching { socket.echoed(2) }.getOrDefault(-1))
        }

        @Test
        fun `Given a silent direction, then no data arrives and the connection stays open`() {
            val socket = connect()
            socket.echoed(1)
            link.change(LinkMode.SILENT_TO_CALLER)
            assertFailsWith<SocketTimeoutException> { socket.echoed(2) }
        }

        @Test
        fun `Given silenced connections, then new connections work`() {
            val old = connect()
            old.echoed(1)
            link.silenceOpenConnections()
            assertFailsWith<IOException> { old.echoed(2) }
            assertEquals(3, connect().echoed(3))
        }
    }
}

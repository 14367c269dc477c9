package org.medlarhook.harness

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A TCP proxy to [targetPort] on loopback. A test can cut the connections or make them drop data silently. */
public class LinkProxy(
    private val targetPort: Int,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val silenced: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    /** The port on which the proxy accepts connections. */
    public val port: Int = server.localPort

    /** What the proxy does with traffic on open and on new connections. */
    @Volatile
    public var mode: LinkMode = LinkMode.OPEN
        private set

    init {
        thread(isDaemon = true, name = "link-$port") { acceptAll() }
    }

    /** Changes the mode; [LinkMode.CUT] also closes the open connections. */
    public fun change(newMode: LinkMode) {
        mode = newMode
        if (newMode == LinkMode.CUT) closeConnections()
    }

    /** Drops all further data on the connections that are open now; new connections work. */
    public fun silenceOpenConnections() {
        silenced += sockets
    }

    override fun close() {
        server.close()
        closeConnections()
    }

    private fun closeConnections() {
        sockets.forEach { it.close() }
        sockets.clear()
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            try {
                connect(server.accept())
            } catch (_: IOException) {
                continue
            }
        }
    }

    private fun connect(caller: Socket) {
        if (mode == LinkMode.CUT) {
            caller.close()
            return
        }
        val target = Socket(InetAddress.getLoopbackAddress(), targetPort)
        sockets += caller
        sockets += target
        pump(caller, target, LinkMode.SILENT_TO_TARGET)
        pump(target, caller, LinkMode.SILENT_TO_CALLER)
    }

    private fun pump(from: Socket, to: Socket, silentMode: LinkMode) {
        thread(isDaemon = true, name = "link-$port-pump") {
            try {
                copy(from, from.getInputStream(), to.getOutputStream(), silentMode)
            } catch (_: IOException) {
                from.close()
                to.close()
            }
        }
    }

    private fun copy(from: Socket, input: InputStream, output: OutputStream, silentMode: LinkMode) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) throw IOException("end of stream")
            val isSilent = mode == LinkMode.SILENT || mode == silentMode || from in silenced
            if (!isSilent) output.write(buffer, 0, count)
        }
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 65_536
    }
}

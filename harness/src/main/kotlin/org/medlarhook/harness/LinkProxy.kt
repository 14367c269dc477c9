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

/** A TCP link to [targetPort] on loopback that a test can cut, silence, or slow down. */
public class LinkProxy(
    private val targetPort: Int,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val silenced: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    /** The port to connect to. */
    public val port: Int = server.localPort

    /** What the link does with traffic, for open connections as well as for new ones. */
    @Volatile
    public var mode: LinkMode = LinkMode.OPEN
        private set

    init {
        thread(isDaemon = true, name = "link-$port") { acceptAll() }
    }

    /** Changes the mode; a cut also resets the connections that are open. */
    public fun change(newMode: LinkMode) {
        mode = newMode
        if (newMode == LinkMode.CUT) closeConnections()
    }

    /** Lets the connections that are open now go silent for good, while new ones work. */
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

    private fun pump(from: Socket, to: Socket, silentIn: LinkMode) {
        thread(isDaemon = true, name = "link-$port-pump") {
            try {
                copy(from, from.getInputStream(), to.getOutputStream(), silentIn)
            } catch (_: IOException) {
                from.close()
                to.close()
            }
        }
    }

    private fun copy(from: Socket, input: InputStream, output: OutputStream, silentIn: LinkMode) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) throw IOException("closed")
            val isSilent = mode == LinkMode.SILENT || mode == silentIn || from in silenced
            if (!isSilent) output.write(buffer, 0, count)
        }
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 65_536
    }
}

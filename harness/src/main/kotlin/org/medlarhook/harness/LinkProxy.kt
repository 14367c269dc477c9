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

/**
 * A TCP proxy to [targetPort] on loopback. A test can cut the connections or make them drop data silently.
 *
 * @param resetsBroken true to reset connections that were cut, were reset at the other side or have lost data. Closed
 * in order, they would make a body that ends with its connection look complete.
 */
public class LinkProxy(
    private val targetPort: Int,
    private val resetsBroken: Boolean = false,
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
        sockets.forEach { end(it, isWhole = false) }
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
            val isWhole =
                try {
                    copy(from, from.getInputStream(), to.getOutputStream(), silentMode)
                } catch (_: IOException) {
                    false
                }
            end(to, isWhole)
            end(from, isWhole)
        }
    }

    /** Copies up to the orderly end of [input]; returns false if some of it was dropped. */
    private fun copy(from: Socket, input: InputStream, output: OutputStream, silentMode: LinkMode): Boolean {
        val buffer = ByteArray(BUFFER_BYTES)
        var isWhole = true
        while (true) {
            val count = input.read(buffer)
            if (count < 0) return isWhole
            val isSilent = mode == LinkMode.SILENT || mode == silentMode || from in silenced
            if (isSilent) isWhole = false else output.write(buffer, 0, count)
        }
    }

    private fun end(socket: Socket, isWhole: Boolean) {
        if (resetsBroken && !isWhole && !socket.isClosed) runCatching { socket.setSoLinger(true, 0) }
        socket.close()
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 65_536
    }
}

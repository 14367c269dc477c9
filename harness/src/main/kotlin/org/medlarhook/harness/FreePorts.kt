package org.medlarhook.harness

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Finds free loopback ports and returns each at most once per process.
 *
 * The ports are below the range that the operating system uses for outgoing connections. A port of that range could be
 * taken by a connection before the process that is to listen on it starts, or while that process restarts.
 */
public object FreePorts {
    private val assignedPorts = HashSet<Int>()

    /** Returns a port on which no process listens. */
    @Synchronized
    public fun next(): Int {
        while (true) {
            val port = Random.nextInt(FIRST_PORT, END_PORT)
            if (port !in assignedPorts && isFree(port)) {
                assignedPorts += port
                return port
            }
        }
    }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }

    private const val FIRST_PORT = 20_000

    /** Exclusive; the range of outgoing connections usually begins at 32,768. */
    private const val END_PORT = 32_000
}

package org.medlarhook.harness

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Finds loopback ports that are free now, each handed out once per process.
 *
 * The ports lie below those that the operating system gives to outgoing connections: one of these could take a port
 * between its being found and the start of the process that listens on it, or while that process is restarted.
 */
public object FreePorts {
    private val taken = HashSet<Int>()

    /** Returns a port that nothing listens on. */
    @Synchronized
    public fun next(): Int {
        while (true) {
            val port = Random.nextInt(FIRST, END)
            if (port !in taken && isFree(port)) {
                taken += port
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

    private const val FIRST = 20_000

    /** The usual first port of outgoing connections is 32,768. */
    private const val END = 32_000
}

package org.medlarhook.harness

import java.net.InetAddress
import java.net.ServerSocket

/** Finds loopback ports that are free now, each handed out once per process. */
internal object FreePorts {
    private val taken = HashSet<Int>()

    @Synchronized
    fun next(): Int {
        while (true) {
            val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            if (taken.add(port)) return port
        }
    }
}

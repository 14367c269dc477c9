package org.medlarhook.serving.upstream

import io.netty.channel.socket.nio.NioSocketChannel
import java.io.IOException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector

/** The socket of a connection to an upstream. */
internal class UpstreamChannel : NioSocketChannel() {
    /**
     * True if the connection was reset, also after its orderly end, behind which reads report nothing more. Of a
     * connected socket, [SelectionKey.OP_CONNECT] is ready only if an error is pending.
     */
    val isReset: Boolean
        get() =
            try {
                Selector.open().use { selector ->
                    javaChannel().register(selector, SelectionKey.OP_CONNECT)
                    selector.selectNow() > 0
                }
            } catch (_: IOException) {
                true
            }
}

package org.medlarhook.serving.upstream

/**
 * The place of a request on the connections to upstreams, for logs.
 *
 * @property connection number of the connection in this process.
 * @property request number of the request on the connection, from 1.
 */
internal data class ConnectionPosition(
    val connection: Long,
    val request: Int,
) {
    override fun toString(): String = "$connection.$request"
}

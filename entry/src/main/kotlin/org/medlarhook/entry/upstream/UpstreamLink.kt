package org.medlarhook.entry.upstream

import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.protocol.UpstreamStatus
import java.util.concurrent.atomic.AtomicInteger

/** A registered upstream and the channel to its sidecar. A new incarnation or a new channel is a new link. */
internal class UpstreamLink(
    val registration: UpstreamRegistration,
    val channel: ManagedChannel,
) {
    /** Requests that this entry has in flight at the upstream. */
    val outstanding = AtomicInteger()

    /** The newest status, or null as long as the sidecar has not answered on this channel. */
    @Volatile
    var status: UpstreamStatus? = null
        private set

    @Volatile
    private var lastHeardAtMs: Long? = null

    @Volatile
    private var sendsHeartbeats = false

    /** True if the sidecar takes new work as far as this entry knows. */
    val isAccepting: Boolean
        get() = status?.let { it.accepting && !it.draining } ?: false

    /** True if a call can leave this process at once. */
    val isReady: Boolean
        get() = channel.getState(false) == ConnectivityState.READY

    /** Notes a status that came at [nowMs]. */
    fun heard(newStatus: UpstreamStatus, nowMs: Long) {
        sendsHeartbeats = lastHeardAtMs != null
        status = newStatus
        lastHeardAtMs = nowMs
    }

    /** Notes that the status stream has ended. */
    fun lost() {
        status = null
        lastHeardAtMs = null
        sendsHeartbeats = false
    }

    /** True if the sidecar gave a sign of life within [limitMs]. */
    fun isAlive(nowMs: Long, limitMs: Long): Boolean =
        sendsHeartbeats && lastHeardAtMs?.let { nowMs - it <= limitMs } ?: false

    /** True if the status stream, which had heartbeats, has been silent for longer than [limitMs]. */
    fun isSilent(nowMs: Long, limitMs: Long): Boolean =
        sendsHeartbeats && lastHeardAtMs?.let { nowMs - it > limitMs } ?: false

    /** True if the upstream serves [model] now. */
    fun serves(model: String): Boolean {
        val loaded = status?.modelsList.orEmpty()
        return if (loaded.isEmpty()) model in registration.models else loaded.any { it.model == model }
    }
}

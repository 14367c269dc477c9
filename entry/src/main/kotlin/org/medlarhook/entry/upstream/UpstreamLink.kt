package org.medlarhook.entry.upstream

import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.protocol.UpstreamStatus
import java.util.concurrent.atomic.AtomicInteger

/** A registered upstream and the channel to its sidecar. Each new incarnation or channel gets a new link. */
internal class UpstreamLink(
    val registration: UpstreamRegistration,
    val channel: ManagedChannel,
) {
    /** Requests that this entry has in flight at the upstream. */
    val outstanding = AtomicInteger()

    /** The newest status, or null if the status stream has ended or has not sent a status yet. */
    @Volatile
    var status: UpstreamStatus? = null
        private set

    @Volatile
    private var lastStatusAtMs: Long? = null

    @Volatile
    private var sendsHeartbeats = false

    /** True if the sidecar accepts new work according to its newest status. */
    val isAccepting: Boolean
        get() = status?.let { it.accepting && !it.draining } ?: false

    /** True if the channel is connected, so that a call is sent at once. */
    val isReady: Boolean
        get() = channel.getState(false) == ConnectivityState.READY

    /** Records a status that arrived at [nowMs]. From the second status on, heartbeats are expected. */
    fun statusReceived(newStatus: UpstreamStatus, nowMs: Long) {
        sendsHeartbeats = lastStatusAtMs != null
        status = newStatus
        lastStatusAtMs = nowMs
    }

    /** Records that the status stream has ended. */
    fun statusStreamEnded() {
        status = null
        lastStatusAtMs = null
        sendsHeartbeats = false
    }

    /** True if the sidecar sends heartbeats and its newest status is at most [limitMs] old. */
    fun isAlive(nowMs: Long, limitMs: Long): Boolean =
        sendsHeartbeats && lastStatusAtMs?.let { nowMs - it <= limitMs } ?: false

    /** True if the sidecar sends heartbeats and its newest status is more than [limitMs] old. */
    fun isSilent(nowMs: Long, limitMs: Long): Boolean =
        sendsHeartbeats && lastStatusAtMs?.let { nowMs - it > limitMs } ?: false

    /** True if [model] is loaded, or, if the status lists no models, if the registration has it. */
    fun serves(model: String): Boolean {
        val loaded = status?.modelsList.orEmpty()
        return if (loaded.isEmpty()) model in registration.models else loaded.any { it.model == model }
    }
}

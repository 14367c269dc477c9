package org.medlarhook.entry.upstream

import io.grpc.stub.StreamObserver
import org.medlarhook.ports.TimeSource
import org.medlarhook.protocol.SidecarServiceGrpc
import org.medlarhook.protocol.UpstreamStatus
import org.medlarhook.protocol.WatchRequest

/** Receives the status stream of one link. After the stream has ended, it is opened again with exponential back-off. */
internal class UpstreamWatch(
    val link: UpstreamLink,
    private val entryId: String,
    private val time: TimeSource,
    private val listener: WatchListener,
) {
    private val lock = Any()
    private var openStream: Any? = null
    private var retryAtMs = 0L
    private var consecutiveFailures = 0

    /** Opens the stream if none is open and the back-off has passed at [nowMs]. */
    fun ensureOpen(nowMs: Long) {
        val observer = Observer()
        synchronized(lock) {
            if (openStream != null || nowMs < retryAtMs) return
            openStream = observer
        }
        val request = WatchRequest.newBuilder().setEntryId(entryId).build()
        SidecarServiceGrpc.newStub(link.channel).watch(request, observer)
    }

    private fun ended(observer: Any) {
        val nowMs = time.monotonicMs()
        synchronized(lock) {
            if (openStream !== observer) return
            openStream = null
            consecutiveFailures++
            retryAtMs = nowMs + minOf(RETRY_BASE_MS shl minOf(consecutiveFailures, MAX_BACKOFF_SHIFT), RETRY_MAX_MS)
        }
        val wasConnected = link.status != null
        link.statusStreamEnded()
        if (wasConnected) listener.lost(link)
    }

    private inner class Observer : StreamObserver<UpstreamStatus> {
        override fun onNext(status: UpstreamStatus) {
            val before = link.status
            link.statusReceived(status, time.monotonicMs())
            synchronized(lock) { consecutiveFailures = 0 }
            listener.changed(link, before, status)
        }

        override fun onError(cause: Throwable) = ended(this)

        override fun onCompleted() = ended(this)
    }

    private companion object {
        const val RETRY_BASE_MS = 50L
        const val RETRY_MAX_MS = 2_000L
        const val MAX_BACKOFF_SHIFT = 6
    }
}

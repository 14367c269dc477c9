package org.medlarhook.sidecar.status

import io.grpc.stub.ServerCallStreamObserver
import org.medlarhook.protocol.UpstreamStatus
import java.util.concurrent.ConcurrentHashMap

/** Sends the status to all watching entries. A slow reader skips messages and then gets the newest status. */
internal class StatusPublisher(
    private val status: () -> UpstreamStatus,
) {
    private inner class Watcher(
        private val observer: ServerCallStreamObserver<UpstreamStatus>,
    ) {
        private var hasMissedStatus = false

        @Synchronized
        fun send(message: UpstreamStatus) {
            hasMissedStatus = !observer.isReady
            if (!hasMissedStatus) observer.onNext(message)
        }

        @Synchronized
        fun sendFirst(message: UpstreamStatus): Unit = observer.onNext(message)

        @Synchronized
        fun sendMissedStatus() {
            if (!hasMissedStatus) return
            hasMissedStatus = false
            observer.onNext(status())
        }

        @Synchronized
        fun end() {
            if (!observer.isCancelled) observer.onCompleted()
        }
    }

    private val watchers = ConcurrentHashMap.newKeySet<Watcher>()

    /** Number of watching entries. */
    val size: Int get() = watchers.size

    /** Adds a watcher and sends it the status at once; ends its stream if there are then more than [MAX_WATCHERS]. */
    fun add(observer: ServerCallStreamObserver<UpstreamStatus>) {
        val watcher = Watcher(observer)
        observer.setOnCancelHandler { watchers.remove(watcher) }
        observer.setOnReadyHandler { watcher.sendMissedStatus() }
        watchers.add(watcher)
        watcher.sendFirst(status())
        if (watchers.size > MAX_WATCHERS) remove(watcher)
    }

    /** Sends the current status to all watchers. */
    fun publish() {
        val message = status()
        watchers.forEach { it.send(message) }
    }

    /** Ends all watch streams. */
    fun close(): Unit = watchers.forEach { remove(it) }

    private fun remove(watcher: Watcher) {
        if (watchers.remove(watcher)) watcher.end()
    }

    private companion object {
        const val MAX_WATCHERS = 1_024
    }
}

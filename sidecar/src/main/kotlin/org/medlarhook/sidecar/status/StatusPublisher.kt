package org.medlarhook.sidecar.status

import io.grpc.stub.ServerCallStreamObserver
import org.medlarhook.protocol.UpstreamStatus
import java.util.concurrent.ConcurrentHashMap

/** Sends the status to all watching entries. A watcher that does not read gets the newest status once it does. */
internal class StatusPublisher(
    private val status: () -> UpstreamStatus,
) {
    private inner class Watcher(
        private val observer: ServerCallStreamObserver<UpstreamStatus>,
    ) {
        private var isBehind = false

        @Synchronized
        fun send(message: UpstreamStatus) {
            isBehind = !observer.isReady
            if (!isBehind) observer.onNext(message)
        }

        @Synchronized
        fun sendFirst(message: UpstreamStatus): Unit = observer.onNext(message)

        @Synchronized
        fun catchUp() {
            if (!isBehind) return
            isBehind = false
            observer.onNext(status())
        }

        @Synchronized
        fun end() {
            if (!observer.isCancelled) observer.onCompleted()
        }
    }

    private val watchers = ConcurrentHashMap.newKeySet<Watcher>()

    /** Entries that watch. */
    val size: Int get() = watchers.size

    /** Adds a watcher and sends it the status at once; beyond the bound the stream ends. */
    fun add(observer: ServerCallStreamObserver<UpstreamStatus>) {
        val watcher = Watcher(observer)
        observer.setOnCancelHandler { watchers.remove(watcher) }
        observer.setOnReadyHandler { watcher.catchUp() }
        watchers.add(watcher)
        watcher.sendFirst(status())
        if (watchers.size > MAX_WATCHERS) remove(watcher)
    }

    /** Sends the present status to all. */
    fun publish() {
        val message = status()
        watchers.forEach { it.send(message) }
    }

    /** Ends all streams. */
    fun close(): Unit = watchers.forEach { remove(it) }

    private fun remove(watcher: Watcher) {
        if (watchers.remove(watcher)) watcher.end()
    }

    private companion object {
        const val MAX_WATCHERS = 1_024
    }
}

package org.medlarhook.sidecar.rpc

import io.grpc.stub.ServerCallStreamObserver
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.Tokens
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The event stream to one entry. Tokens that come while the transport is busy are sent together once it is ready.
 * A reader that falls far behind holds up the engine's stream. Its lock is innermost.
 */
internal class EventStream(
    private val observer: ServerCallStreamObserver<GenerateEvent>,
    onCancel: () -> Unit,
) {
    private val lock = ReentrantLock()
    private val drained = lock.newCondition()
    private val pendingTexts = ArrayList<String>()
    private var pendingFirstIndex = 0
    private var isEnded = false

    /** Tokens handed to the transport. */
    @Volatile
    var deliveredTokens = 0L
        private set

    init {
        observer.setOnCancelHandler {
            lock.withLock { drained.signalAll() }
            onCancel()
        }
        observer.setOnReadyHandler { flush() }
    }

    /** Sends [event] at once. */
    fun send(event: GenerateEvent.Builder) {
        lock.withLock { if (!observer.isCancelled) observer.onNext(event.build()) }
    }

    /** Adds a token to the next event; false if the entry has left or does not read. */
    fun addToken(index: Int, text: String): Boolean =
        lock.withLock {
            if (pendingTexts.size >= MAX_PENDING_TOKENS && !awaitReader()) return false
            if (pendingTexts.isEmpty()) pendingFirstIndex = index
            pendingTexts += text
            !observer.isCancelled
        }

    /** Sends the pending tokens if the transport is ready. */
    fun flush() {
        lock.withLock { if (observer.isReady) sendPending() }
    }

    /** Sends the pending tokens and the final [event]. */
    fun end(event: GenerateEvent.Builder) {
        lock.withLock {
            if (isEnded || observer.isCancelled) return
            isEnded = true
            observer.onNext(event.build())
            observer.onCompleted()
        }
    }

    /** Sends what is pending whether or not the transport is ready, before a final event. */
    fun flushAll() {
        lock.withLock { if (!observer.isCancelled) sendPending() }
    }

    private fun sendPending() {
        if (pendingTexts.isEmpty() || isEnded) return
        val tokens = Tokens.newBuilder().setFirstIndex(pendingFirstIndex).addAllTexts(pendingTexts)
        observer.onNext(GenerateEvent.newBuilder().setTokens(tokens).build())
        deliveredTokens += pendingTexts.size
        pendingTexts.clear()
        drained.signalAll()
    }

    private fun awaitReader(): Boolean {
        var leftNanos = TimeUnit.MILLISECONDS.toNanos(READER_TIMEOUT_MS)
        while (pendingTexts.size >= MAX_PENDING_TOKENS) {
            if (observer.isCancelled || leftNanos <= 0) return false
            leftNanos = drained.awaitNanos(leftNanos)
        }
        return true
    }

    private companion object {
        const val MAX_PENDING_TOKENS = 1_024
        const val READER_TIMEOUT_MS = 10_000L
    }
}

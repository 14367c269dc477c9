package org.medlarhook.sidecar.rpc

import io.grpc.stub.ServerCallStreamObserver
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.Tokens
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The event stream of one attempt to its entry. Tokens that arrive while the transport is busy are sent together once
 * it is ready. Back-pressure: at [MAX_PENDING_TOKENS] pending tokens the thread that reads the engine's stream blocks.
 *
 * Lock order: no other lock of the sidecar is acquired while this stream's lock is held.
 */
internal class EventStream(
    private val observer: ServerCallStreamObserver<GenerateEvent>,
    onCancel: () -> Unit,
) {
    private val lock = ReentrantLock()
    private val spaceAvailable = lock.newCondition()
    private val pendingTexts = ArrayList<String>()
    private var pendingFirstIndex = 0
    private var isEnded = false

    /** Number of tokens passed to the transport. */
    @Volatile
    var deliveredTokens = 0L
        private set

    init {
        observer.setOnCancelHandler {
            lock.withLock { spaceAvailable.signalAll() }
            onCancel()
        }
        observer.setOnReadyHandler { flush() }
    }

    /** Sends [event] at once. */
    fun send(event: GenerateEvent.Builder) {
        lock.withLock { if (!observer.isCancelled) observer.onNext(event.build()) }
    }

    /** Adds a token to the next event; false if the entry has cancelled or has not read for [SPACE_TIMEOUT_MS]. */
    fun addToken(index: Int, text: String): Boolean =
        lock.withLock {
            if (pendingTexts.size >= MAX_PENDING_TOKENS && !awaitSpace()) return false
            if (pendingTexts.isEmpty()) pendingFirstIndex = index
            pendingTexts += text
            !observer.isCancelled
        }

    /** Sends the pending tokens if the transport is ready. */
    fun flush() {
        lock.withLock { if (observer.isReady) sendPending() }
    }

    /** Sends the final [event] and closes the stream; tokens still pending are not sent. */
    fun end(event: GenerateEvent.Builder) {
        lock.withLock {
            if (isEnded || observer.isCancelled) return
            isEnded = true
            observer.onNext(event.build())
            observer.onCompleted()
        }
    }

    /** Sends the pending tokens even if the transport is not ready; used before the final event. */
    fun flushAll() {
        lock.withLock { if (!observer.isCancelled) sendPending() }
    }

    private fun sendPending() {
        if (pendingTexts.isEmpty() || isEnded) return
        val tokens = Tokens.newBuilder().setFirstIndex(pendingFirstIndex).addAllTexts(pendingTexts)
        observer.onNext(GenerateEvent.newBuilder().setTokens(tokens).build())
        deliveredTokens += pendingTexts.size
        pendingTexts.clear()
        spaceAvailable.signalAll()
    }

    private fun awaitSpace(): Boolean {
        var remainingNanos = TimeUnit.MILLISECONDS.toNanos(SPACE_TIMEOUT_MS)
        while (pendingTexts.size >= MAX_PENDING_TOKENS) {
            if (observer.isCancelled || remainingNanos <= 0) return false
            remainingNanos = spaceAvailable.awaitNanos(remainingNanos)
        }
        return true
    }

    private companion object {
        const val MAX_PENDING_TOKENS = 1_024
        const val SPACE_TIMEOUT_MS = 10_000L
    }
}

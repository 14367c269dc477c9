package org.medlarhook.serving.process

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.runtime.thread.StepThread
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Follows one table of the store on a separate thread: reads it whole, then waits for changes.
 *
 * When the era of the store rises, the position is forgotten, because it may be valid again with other rows behind it,
 * and so is a read that was open at that moment. The table is then read whole.
 *
 * @param T the result of a read, which holds the position where the next wait begins.
 */
internal class FeedFollower<T>(
    private val name: String,
    private val time: TimeSource,
    private val era: StoreEra,
    private val source: FeedSource<T>,
    private val sink: FeedSink<T>,
) {
    private var position: Long? = null
    private var knownEra: Long? = null
    private var isReachable = true

    @Volatile
    private var isStopped = false

    fun start() {
        StepThread("follow-$name", { isStopped }, onFailure = ::readWholeNext) { step() }.start()
    }

    /** A step that failed may have lost a change. */
    private fun readWholeNext() {
        position = null
    }

    /** Ends the thread after its current call. */
    fun stop() {
        isStopped = true
    }

    private fun step() {
        val clockGeneration = sink.clockGeneration()
        val begunAtMs = time.monotonicMs()
        val from = position
        val result = if (from == null) source.readAll() else source.await(from, WAIT_MS)
        if (isStopped) return
        if (hasEraRisen()) return restart()
        result.fold(
            { failure -> failed(failure) },
            { read ->
                storeReached()
                position = source.positionOf(read)
                sink.received(read, begunAtMs, clockGeneration)
            },
        )
    }

    private fun hasEraRisen(): Boolean {
        val before = knownEra
        knownEra = era.current
        return before != null && before != knownEra
    }

    private fun restart() {
        position = null
        sink.storeRestored()
        Thread.sleep(Random.nextLong(RESTART_SPREAD_MS))
    }

    private fun storeReached() {
        if (isReachable) return
        isReachable = true
        logger.event(LogEvent.STORE_BACK, "feed" to name)
    }

    private fun failed(failure: StoreFailure) {
        when (failure) {
            is StoreFailure.HistoryGone -> position = null
            is StoreFailure.Unavailable -> {
                if (isReachable) logger.warnEvent(LogEvent.STORE_LOST, "feed" to name, "cause" to failure.detail)
                isReachable = false
                sink.unreachable()
                Thread.sleep(RETRY_MS)
            }
        }
    }

    private companion object {
        /** Keeps the age of confirmed keys, which is up to twice this, a second below the bound on their withdrawal. */
        const val WAIT_MS = 1_500L

        /** Time between two tries while the store is unreachable; short compared with its bounds of seconds. */
        const val RETRY_MS = 150L

        /** Spreads the reads of all processes after a drill, which they notice at the same moment. */
        const val RESTART_SPREAD_MS = 200L
    }
}

/** Reads one table of the store. */
internal interface FeedSource<T> {
    fun readAll(): Either<StoreFailure, T>

    fun await(position: Long, waitMs: Long): Either<StoreFailure, T>

    fun positionOf(read: T): Long
}

/** Receives the results of a [FeedFollower], on the follower's thread. */
internal interface FeedSink<T> {
    /** The generation of the clocks in which the next read begins; a jump between the clocks begins a new one. */
    fun clockGeneration(): Int

    /** Handles a [read] that began at [begunAtMs] in [clockGeneration]. */
    fun received(read: T, begunAtMs: Long, clockGeneration: Int)

    /** Handles a read that did not reach the store. */
    fun unreachable()

    /** Handles a drill: the store came back from an older copy, and the table is read whole next. */
    fun storeRestored()
}

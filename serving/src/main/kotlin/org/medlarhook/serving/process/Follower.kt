package org.medlarhook.serving.process

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import kotlin.concurrent.thread

private val logger = KotlinLogging.logger {}

/**
 * Follows one table of the store on a thread of its own: reads it whole, then waits for changes.
 *
 * @param T what a read brings, with the position from which to go on.
 */
internal class Follower<T>(
    private val name: String,
    private val time: TimeSource,
    private val source: FeedSource<T>,
    private val sink: FeedSink<T>,
) {
    private var position: Long? = null
    private var isReachable = true

    @Volatile
    private var isStopped = false

    fun start() {
        thread(name = "follow-$name", isDaemon = true) {
            while (!isStopped) step()
        }
    }

    /** Ends the thread after the call that it is in. */
    fun stop() {
        isStopped = true
    }

    private fun step() {
        val generation = sink.generation()
        val begunAtMs = time.monotonicMs()
        val at = position
        val result = if (at == null) source.readAll() else source.await(at, WAIT_MS)
        if (isStopped) return
        result.fold(
            { failure -> failed(failure) },
            { read ->
                regained()
                position = source.positionOf(read)
                sink.received(read, begunAtMs, generation)
            },
        )
    }

    private fun regained() {
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
        /** Short enough that an age of keys of twice this is within the bound of a withdrawal, with a second to spare. */
        const val WAIT_MS = 1_500L

        /** Between two tries while the store is away; short against its bounds of seconds. */
        const val RETRY_MS = 150L
    }
}

/** Reads one table of the store. */
internal interface FeedSource<T> {
    fun readAll(): Either<StoreFailure, T>

    fun await(position: Long, waitMs: Long): Either<StoreFailure, T>

    fun positionOf(read: T): Long
}

/** Takes what a [Follower] reads; called on the follower's thread. */
internal interface FeedSink<T> {
    /** The generation of clocks in which the next read begins. */
    fun generation(): Int

    fun received(read: T, begunAtMs: Long, generation: Int)

    fun unreachable()
}

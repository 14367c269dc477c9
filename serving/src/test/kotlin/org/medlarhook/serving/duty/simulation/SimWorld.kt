package org.medlarhook.serving.duty.simulation

import java.util.PriorityQueue
import java.util.concurrent.ExecutorService
import java.util.concurrent.Semaphore
import kotlin.random.Random

/**
 * Simulated time. Blocking code runs in [SimThread]s, of which only one runs at a time; the others wait for an event.
 * So the same [random] always gives the same order of events, and no real time passes.
 */
internal class SimWorld(
    val random: Random,
    private val executor: ExecutorService,
) {
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.sequence }))
    private val threads = ArrayList<SimThread>()
    private val scheduler = Semaphore(0)
    private var sequence = 0L
    private var endMs = 0L

    /** The true time since the simulation has begun. */
    var nowMs = 0L
        private set

    fun at(atMs: Long, action: () -> Unit) {
        events += Event(maxOf(atMs, nowMs), sequence++, null, action)
    }

    fun after(delayMs: Long, action: () -> Unit) = at(nowMs + delayMs, action)

    /** Starts [body] as blocking code at the present time. */
    fun start(body: (SimThread) -> Unit) {
        val thread = SimThread(this)
        threads += thread
        resumeAt(thread, nowMs)
        executor.execute {
            thread.permit.acquireUninterruptibly()
            runCatching { if (!thread.isCancelled) body(thread) }
            thread.isFinished = true
            scheduler.release()
        }
    }

    fun runUntil(untilMs: Long) {
        endMs = untilMs
        while (true) {
            val next = events.peek()?.takeIf { it.atMs <= untilMs } ?: break
            events.poll()
            nowMs = next.atMs
            perform(next)
        }
        nowMs = untilMs
    }

    /** Ends all blocking code. */
    fun close() {
        threads.filterNot { it.isFinished }.forEach {
            it.isCancelled = true
            handTo(it)
        }
    }

    /** Called by blocking code: lets the world go on until [untilMs]. */
    fun pause(thread: SimThread, untilMs: Long) {
        if (thread.isCancelled) throw SimEndedException()
        if (untilMs > endMs || !performAllBefore(untilMs)) {
            resumeAt(thread, untilMs)
            scheduler.release()
            thread.permit.acquireUninterruptibly()
        }
        if (thread.isCancelled) throw SimEndedException()
    }

    /** Performs what is due in the calling thread, which saves changes of the thread; false if another one is due. */
    private fun performAllBefore(untilMs: Long): Boolean {
        while (true) {
            val next = events.peek()?.takeIf { it.atMs <= untilMs } ?: break
            if (next.thread != null) return false
            events.poll()
            nowMs = next.atMs
            perform(next)
        }
        nowMs = maxOf(nowMs, untilMs)
        return true
    }

    private fun perform(event: Event) = if (event.thread == null) event.action() else handTo(event.thread)

    private fun handTo(thread: SimThread) {
        if (thread.isFinished) return
        thread.permit.release()
        scheduler.acquireUninterruptibly()
    }

    private fun resumeAt(thread: SimThread, atMs: Long) {
        events += Event(maxOf(atMs, nowMs), sequence++, thread) {}
    }

    private class Event(
        val atMs: Long,
        val sequence: Long,
        val thread: SimThread?,
        val action: () -> Unit,
    )
}

/** Blocking code in a [SimWorld]. */
internal class SimThread(
    private val world: SimWorld,
) {
    val permit = Semaphore(0)

    @Volatile
    var isCancelled = false

    @Volatile
    var isFinished = false

    fun pauseUntil(atMs: Long) = world.pause(this, atMs)
}

/** Ends the blocking code of a process that was killed, or of a simulation that is over. */
internal class SimEndedException : RuntimeException()

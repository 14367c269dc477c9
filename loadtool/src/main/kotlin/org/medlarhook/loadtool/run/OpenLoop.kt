package org.medlarhook.loadtool.run

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random

/** Sends a plan at its times, whether or not earlier requests have been answered. */
internal class OpenLoop(
    private val client: EntryClient,
    private val probeShare: Double,
    seed: Long,
) {
    private val records = ConcurrentLinkedQueue<RequestRecord>()
    private val probes = ConcurrentLinkedQueue<RequestRecord>()
    private val workers = Executors.newCachedThreadPool()
    private val timer = Executors.newScheduledThreadPool(1)
    private val random = Random(seed)

    /** Runs [plan] and waits for its answers. */
    fun run(plan: List<PlannedRequest>): LoopRecords {
        val startNanos = System.nanoTime()
        plan.forEachIndexed { turn, planned ->
            val intendedNanos = startNanos + (planned.atMs * NANOS_PER_MS).toLong()
            sleepUntil(intendedNanos)
            val probe = random.nextDouble() < probeShare
            workers.execute { serve(planned, turn, intendedNanos, probe) }
        }
        timer.schedule({ }, MAX_PROBE_MS, TimeUnit.MILLISECONDS)
        timer.shutdown()
        timer.awaitTermination(DRAIN_S, TimeUnit.SECONDS)
        workers.shutdown()
        workers.awaitTermination(DRAIN_S, TimeUnit.SECONDS)
        return LoopRecords(records.toList(), probes.toList())
    }

    private fun serve(planned: PlannedRequest, turn: Int, intendedNanos: Long, probe: Boolean) {
        val record = client.send(planned, turn) { (System.nanoTime() - intendedNanos) / NANOS_PER_MS }
        records += record
        val retryAfterMs = record.retryAfterMs?.takeIf { probe && record.refused && it < MAX_PROBE_MS } ?: return
        runCatching { timer.schedule({ probe(planned, turn) }, retryAfterMs, TimeUnit.MILLISECONDS) }
    }

    private fun probe(planned: PlannedRequest, turn: Int) {
        val sentNanos = System.nanoTime()
        workers.execute {
            probes += client.send(planned, turn) { (System.nanoTime() - sentNanos) / NANOS_PER_MS }
        }
    }

    private fun sleepUntil(atNanos: Long) {
        while (true) {
            val leftNanos = atNanos - System.nanoTime()
            if (leftNanos <= 0) return
            LockSupport.parkNanos(leftNanos)
        }
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000.0
        const val MAX_PROBE_MS = 10_000L
        const val DRAIN_S = 70L
    }
}

/** The answers to the plan, and to refused requests that were sent again. */
internal data class LoopRecords(
    val answers: List<RequestRecord>,
    val probes: List<RequestRecord>,
)

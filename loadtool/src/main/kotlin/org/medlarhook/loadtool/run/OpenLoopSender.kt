package org.medlarhook.loadtool.run

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random

/**
 * Open-loop load generator: sends each request at its scheduled time, whether or not earlier requests have been
 * answered.
 *
 * @param probeShare share of the refused requests that are sent again after their `Retry-After`.
 */
internal class OpenLoopSender(
    private val client: EntryClient,
    private val probeShare: Double,
    seed: Long,
) {
    private val records = ConcurrentLinkedQueue<RequestRecord>()
    private val probes = ConcurrentLinkedQueue<RequestRecord>()
    private val workers = Executors.newCachedThreadPool()
    private val timer = Executors.newScheduledThreadPool(1)
    private val random = Random(seed)

    /** Sends the requests of [plan] and waits for their answers. */
    fun run(plan: List<PlannedRequest>): RunRecords {
        val startNanos = System.nanoTime()
        plan.forEachIndexed { index, planned ->
            val scheduledNanos = startNanos + (planned.atMs * NANOS_PER_MS).toLong()
            sleepUntil(scheduledNanos)
            val probe = random.nextDouble() < probeShare
            workers.execute { sendAndRecord(planned, index, scheduledNanos, probe) }
        }
        timer.schedule({ }, MAX_PROBE_DELAY_MS, TimeUnit.MILLISECONDS)
        timer.shutdown()
        timer.awaitTermination(DRAIN_TIMEOUT_S, TimeUnit.SECONDS)
        workers.shutdown()
        workers.awaitTermination(DRAIN_TIMEOUT_S, TimeUnit.SECONDS)
        return RunRecords(records.toList(), probes.toList())
    }

    private fun sendAndRecord(planned: PlannedRequest, index: Int, scheduledNanos: Long, probe: Boolean) {
        val record = client.send(planned, index) { (System.nanoTime() - scheduledNanos) / NANOS_PER_MS }
        records += record
        val retryAfterMs = record.retryAfterMs?.takeIf { probe && record.refused && it < MAX_PROBE_DELAY_MS } ?: return
        runCatching { timer.schedule({ probe(planned, index) }, retryAfterMs, TimeUnit.MILLISECONDS) }
    }

    private fun probe(planned: PlannedRequest, index: Int) {
        val sentNanos = System.nanoTime()
        workers.execute {
            probes += client.send(planned, index) { (System.nanoTime() - sentNanos) / NANOS_PER_MS }
        }
    }

    private fun sleepUntil(atNanos: Long) {
        while (true) {
            val remainingNanos = atNanos - System.nanoTime()
            if (remainingNanos <= 0) return
            LockSupport.parkNanos(remainingNanos)
        }
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000.0
        const val MAX_PROBE_DELAY_MS = 10_000L
        const val DRAIN_TIMEOUT_S = 70L
    }
}

/**
 * The answers of a run.
 *
 * @property answers answers to the requests of the plan.
 * @property probes answers to refused requests that were sent again.
 */
internal data class RunRecords(
    val answers: List<RequestRecord>,
    val probes: List<RequestRecord>,
)

package org.medlarhook.core.fairness

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange
import kotlin.math.abs
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val MAX_COST_TOKENS = 500L
private const val MAX_CREDIT_TOKENS = 2_000L
private const val MAX_ITEMS = 8
private const val ROUNDS = 60

private data class Job(
    val workspace: Int,
    val costTokens: Long,
    val deadlineMs: Long,
    val number: Int,
)

class FairQueueFuzz {
    @Property(seed = "11", tries = 300)
    fun `Given permanent backlogs, then service per weight differs by at most one item and the credit of each`(
        @ForAll @IntRange(min = 2, max = 6) workspaces: Int,
        @ForAll @LongRange(min = 1) seed: Long,
    ) {
        val random = Random(seed)
        val weights = List(workspaces) { random.nextInt(1, 21) }
        val creditTokens = random.nextLong(2) * random.nextLong(MAX_CREDIT_TOKENS)
        val queue = FairQueue<Job>(maxItems = workspaces * 2, creditTokens)
        val servedTokens = LongArray(workspaces)

        fun offerItem(workspace: Int) {
            val job = Job(workspace, random.nextLong(1, MAX_COST_TOKENS + 1), Long.MAX_VALUE, 0)
            queue.offer("w$workspace", weights[workspace], job.costTokens, random.nextInt(3), job.deadlineMs, 0, job)
        }
        repeat(2 * workspaces) { offerItem(it % workspaces) }
        repeat(ROUNDS) {
            val job = queue.poll(0)!!
            servedTokens[job.workspace] += job.costTokens
            offerItem(job.workspace)
            assertGapBounded(weights, servedTokens, MAX_COST_TOKENS + creditTokens)
        }
    }

    private fun assertGapBounded(
        weights: List<Int>,
        servedTokens: LongArray,
        boundTokens: Long,
    ) {
        for (a in weights.indices) {
            for (b in weights.indices) {
                val gap = abs(servedTokens[a].toDouble() / weights[a] - servedTokens[b].toDouble() / weights[b])
                val bound = boundTokens.toDouble() / weights[a] + boundTokens.toDouble() / weights[b]
                assertTrue(
                    gap <= bound + 1e-6,
                    "service of workspaces $a and $b differs by $gap tokens per unit of weight, bound $bound",
                )
            }
        }
    }

    @Property(seed = "12", tries = 300)
    fun `Given any calls, then each item leaves once, none is polled late, and the size bound holds`(
        @ForAll @LongRange(min = 1) seed: Long,
    ) {
        val random = Random(seed)
        val queue = FairQueue<Job>(MAX_ITEMS)
        val held = mutableMapOf<Job, Ticket>()
        var nowMs = 0L

        fun removeHeld(job: Job) = assertTrue(held.remove(job) != null, "$job left the queue twice")
        repeat(ROUNDS) { round ->
            nowMs += random.nextLong(3)
            when (random.nextInt(6)) {
                0, 1, 2 -> {
                    val job = Job(random.nextInt(4), random.nextLong(1, 50), nowMs + random.nextLong(20), round)
                    val name = "w${job.workspace}"
                    val result = queue.offer(name, 1 + job.workspace, job.costTokens, 0, job.deadlineMs, nowMs, job)
                    if (result is OfferResult.Accepted) {
                        result.displaced?.let { removeHeld(it) }
                        held[job] = result.ticket
                    }
                }
                3 -> queue.poll(nowMs)?.let { job ->
                    assertTrue(job.deadlineMs > nowMs)
                    removeHeld(job)
                }
                4 -> held.entries.randomOrNull(random)?.let { (job, ticket) ->
                    assertEquals(job, queue.remove(ticket))
                    removeHeld(job)
                }
                else -> {
                    val due = held.keys.filter { it.deadlineMs <= nowMs }.toSet()
                    val expired = queue.expire(nowMs)
                    assertEquals(due, expired.toSet())
                    expired.forEach { removeHeld(it) }
                }
            }
            assertEquals(held.size, queue.size)
            assertTrue(queue.size <= MAX_ITEMS)
            assertEquals(held.keys.sumOf { it.costTokens }, queue.queuedTokens)
        }
    }
}

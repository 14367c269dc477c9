package org.medlarhook.core.limit

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange
import kotlin.random.Random
import kotlin.test.assertTrue

private const val LIMIT_PER_S = 1_000.0
private const val BURST_S = 2.0
private const val MAX_REQUEST_TOKENS = 400L
private const val ROUND_MS = 1_000L
private const val ROUNDS = 30

class LimitFuzz {
    @Property(seed = "31", tries = 200)
    fun `Given entries whose tables differ by one round, then their shares add up to at most the limit`(
        @ForAll @IntRange(min = 1, max = 30) entries: Int,
        @ForAll @LongRange(min = 1) seed: Long,
    ) {
        val random = Random(seed)
        val tables = (0..ROUNDS).map { round -> randomTable(round, entries, random) }
        for (round in 2..ROUNDS) {
            val sumPerS = (1..entries).sumOf { shareOf(it, tables, round - random.nextInt(2), entries) }
            assertTrue(
                sumPerS <= LIMIT_PER_S * (1 + 1e-9),
                "shares add up to $sumPerS tokens/s in round $round, limit $LIMIT_PER_S tokens/s",
            )
        }
    }

    @Property(seed = "32", tries = 100)
    fun `Given any arrivals, then all entries admit at most rate, burst and one request per entry`(
        @ForAll @IntRange(min = 1, max = 12) entries: Int,
        @ForAll @LongRange(min = 1) seed: Long,
    ) {
        val random = Random(seed)
        val tables = (0..ROUNDS).map { round -> randomTable(round, entries, random) }
        val limiters = (1..entries).associateWithTo(mutableMapOf()) { WorkspaceLimiter.of(0.0, null, entries, 0) }
        var admittedTokens = 0L
        for (nowMs in ROUND_MS..ROUND_MS * (ROUNDS - 1) step 20) {
            val entry = random.nextInt(1, entries + 1)
            val round = (nowMs / ROUND_MS).toInt() + 1 - (entry + seed % 2).toInt() % 2
            val limiter = limiters.getValue(entry).withShare(shareOf(entry, tables, round, entries), nowMs)
            val tokens = random.nextLong(1, MAX_REQUEST_TOKENS + 1)
            val decision = limiter.tryStart(tokens, nowMs)
            limiters[entry] = if (decision is LimitDecision.Passed) decision.limiter else limiter
            if (decision is LimitDecision.Passed) admittedTokens += tokens
            val bound = LIMIT_PER_S * (nowMs / 1_000.0 + BURST_S) + entries * MAX_REQUEST_TOKENS
            assertTrue(admittedTokens <= bound, "$admittedTokens tokens admitted by $nowMs ms, bound $bound tokens")
        }
    }

    @Property(seed = "33", tries = 100)
    fun `Given a concurrency limit, then at most the limit or one request per entry runs`(
        @ForAll @IntRange(min = 1, max = 20) entries: Int,
        @ForAll @IntRange(min = 1, max = 50) limit: Int,
    ) {
        val running = (1..entries).sumOf { maxRunning(WorkspaceLimiter.of(null, limit, entries, 0)) }
        assertTrue(running <= maxOf(limit, entries))
    }

    private fun maxRunning(initial: WorkspaceLimiter): Int {
        var limiter = initial
        while (true) {
            val decision = limiter.tryStart(1, 0)
            limiter = (decision as? LimitDecision.Passed)?.limiter ?: return limiter.inFlight
        }
    }

    private fun randomTable(round: Int, entries: Int, random: Random): DemandTable {
        val listed = (1..entries).filter { random.nextInt(10) > 0 }
        return DemandTable(round.toLong(), listed.associate { "e$it" to random.nextDouble(0.0, 500.0) })
    }

    private fun shareOf(entry: Int, tables: List<DemandTable>, round: Int, entries: Int): Double =
        DemandShares().sharePerS("e$entry", LIMIT_PER_S, tables[round], tables[round - 1], entries)
}

package org.medlarhook.core.serving.limit

import org.medlarhook.core.serving.fleet.Incarnation
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Guards against overrunning a limit while processes start and end and some can't read the list of all of them. Every
 * process sends whenever it may.
 */
class ChangingFleetTest {
    private val engine = Incarnation("engine", 1)

    /** A process that serves from [startMs] to [endMs]; the store turns it away from [cutFromMs] to [cutToMs]. */
    private class Process(
        val name: String,
        val startMs: Long,
        val endMs: Long,
        val cutFromMs: Long = Long.MAX_VALUE,
        val cutToMs: Long = Long.MAX_VALUE,
    ) {
        /** True if a list of [window] read at [atMs] has this process, which first publishes the window before, too. */
        fun isListed(window: Long, atMs: Long): Boolean {
            val fromMs = maxOf(startMs, window * WINDOW_MS)
            val untilMs = minOf(endMs, (window + 1) * WINDOW_MS)
            val isCut = fromMs >= cutFromMs && untilMs <= cutToMs
            return atMs >= startMs && window >= startMs / WINDOW_MS - 1 && window * WINDOW_MS < endMs && !isCut
        }
    }

    private fun processesFrom(startMs: Long, endMs: Long, count: Int) =
        List(count) { Process("p$it-$startMs", startMs, endMs) }

    private fun sentBy(process: Process, fleet: List<Process>, perS: Double, random: Random): List<Long> {
        val readDelayMs = random.nextLong(MAX_READ_DELAY_MS)
        val skewMs = random.nextLong(-MAX_SKEW_MS, MAX_SKEW_MS)
        val firstWindow = process.startMs / WINDOW_MS
        var readWindow = -1L
        var limits = UpstreamLimits().said(engine, perS, asOfMs = 0)
        return (process.startMs..<minOf(process.endMs, END_MS) step STEP_MS).filter { nowMs ->
            val window = (nowMs - readDelayMs).coerceAtLeast(0) / WINDOW_MS
            if (window != readWindow && nowMs !in process.cutFromMs..<process.cutToMs) {
                readWindow = window
                val list = fleet.filter { it.isListed(window - 1, nowMs) }.map { it.name }.toSet()
                val share = ProcessShare.of(process.name, list, firstWindow, window, skewMs, nowMs, WINDOW_MS)
                limits = limits.withShare(share)
            }
            val next = limits.withdraw(engine, nowMs)
            limits = next ?: limits
            next != null
        }
    }

    private fun assertKept(fleet: List<Process>) {
        listOf(0.5, 1.4, 11.7, 40.0).forEach { perS ->
            (1..SEEDS).forEach { seed ->
                val random = Random(seed)
                val sent = fleet.flatMap { sentBy(it, fleet, perS, random) }.sorted()
                val most = sent.withIndex().maxOf { (from, atMs) ->
                    (from..<sent.size).takeWhile { sent[it] < atMs + 4_000 }.size
                }
                assertTrue(most <= perS * 4 * 1.5 + 5, "$most requests in 4 s at $perS a second, seed $seed")
            }
        }
    }

    @Test
    fun `Given processes that start beside others, then all together keep to the limit`() {
        assertKept(processesFrom(0, END_MS, 6) + processesFrom(12_000, END_MS, 3) + processesFrom(18_500, END_MS, 6))
    }

    @Test
    fun `Given processes that start one after the other with none before, then all together keep to the limit`() {
        assertKept((0..<30).map { Process("p$it", startMs = 10_000 + it * 100L, END_MS) })
    }

    @Test
    fun `Given processes that all end and start again at once, then all together keep to the limit`() {
        assertKept(processesFrom(0, 17_000, 30) + processesFrom(18_000, END_MS, 30))
    }

    @Test
    fun `Given processes that are replaced in turn, then all together keep to the limit`() {
        assertKept(
            (0L..<6).flatMap { turn ->
                val endMs = 12_000 + turn * 1_500
                listOf(Process("old-$turn", 0, endMs), Process("new-$turn", endMs + 1_000, END_MS))
            },
        )
    }

    @Test
    fun `Given a part of the processes that the store turns away, then all together keep to the limit`() {
        val cut = List(4) { Process("cut-$it", 0, END_MS, cutFromMs = 13_000, cutToMs = 33_000) }
        assertKept(cut + processesFrom(0, END_MS, 2))
    }

    private companion object {
        const val WINDOW_MS = 5_000L
        const val END_MS = 45_000L
        const val STEP_MS = 5L
        const val SEEDS = 5

        /** Two steps of the reporter that reads the list. */
        const val MAX_READ_DELAY_MS = 1_000L

        /** Half of a round trip to a slow store. */
        const val MAX_SKEW_MS = 100L
    }
}

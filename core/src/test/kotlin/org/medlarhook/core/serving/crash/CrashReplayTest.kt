package org.medlarhook.core.serving.crash

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Compares processes that quarantine prompt parts with others that don't, over fixed seeds. */
class CrashReplayTest {
    private fun lateArrivals(replay: CrashReplay): Int {
        val fifthMs = replay.badCrashesMs.getOrNull(4) ?: return 0
        return replay.badArrivalsMs.count { it > fifthMs + CrashReplay.CONTACT_MS }
    }

    private fun report(name: String, replays: List<CrashReplay>) {
        val served = replays.sumOf { it.soundServed }.toDouble() / replays.sumOf { it.soundSent }
        println(
            "$name: crashes by the part ${replays.minOf { it.badCrashesMs.size }} to " +
                "${replays.maxOf {
                    it.badCrashesMs.size
                }}, late arrivals at most ${replays.maxOf { lateArrivals(it) }}, " +
                "sound served %.4f, refused ${replays.sumOf { it.soundRefused }}: ".format(served) +
                replays.flatMap { replay ->
                    replay.refusalsMs.map { (part, atMs) -> "$part ${atMs.min()}..${atMs.max()}" }
                },
        )
    }

    @Test
    fun `Given a bad part, then few requests with it reach engines after the fifth crash, and sound ones are served`() {
        val baseline = SEEDS.map { CrashReplay(it, suspectsOf = null).run() }
        val observed = SEEDS.map { CrashReplay(it).run() }
        report("baseline", baseline)
        report("quarantine", observed)
        assertTrue(baseline.all { lateArrivals(it) > 3 })
        observed.forEach { assertTrue(lateArrivals(it) <= 3, "${lateArrivals(it)} late") }
        observed.forEach {
            assertTrue(
                it.soundServed >= it.soundSent * 0.98,
                "${it.soundServed} of ${it.soundSent}; refused ${it.soundRefused}",
            )
        }
    }

    @Test
    fun `Given rare requests with a bad part, then few of them reach engines after the fifth crash`() {
        val observed = SEEDS.map { CrashReplay(it, badPerS = 0.5).run() }
        report("rare", observed)
        observed.forEach { assertTrue(lateArrivals(it) <= 3, "${lateArrivals(it)} late") }
    }

    @Test
    fun `Given all engines that crash at once and no bad part, then sound requests are not refused`() {
        val observed = SEEDS.map { CrashReplay(it, badPerS = 0.0, massCrashAtMs = 20_000).run() }
        report("mass crash", observed)
        assertEquals(0, observed.sumOf { it.soundRefused })
    }

    @Test
    fun `Given a mass crash and a bad part, then few requests with it reach engines, and sound ones are served`() {
        val observed = SEEDS.map { CrashReplay(it, massCrashAtMs = 5_300).run() }
        report("mass crash beside a bad part", observed)
        observed.forEach { replay ->
            assertTrue(lateArrivals(replay) <= 3, "${lateArrivals(replay)} late")
            assertTrue(replay.soundRefused <= replay.soundSent * 0.01, "${replay.soundRefused} of ${replay.soundSent}")
        }
    }

    @Test
    fun `Given a process that starts later, then it has learnt of the bad part within the contact time`() {
        val startMs = 30_000L
        val observed = SEEDS.map { CrashReplay(it, lateProcessAtMs = startMs).run() }
        report("late process", observed)
        observed.forEach { replay ->
            val late = replay.badArrivalsMs.count { it > startMs + CrashReplay.CONTACT_MS }
            assertTrue(late <= 3, "$late late")
        }
    }

    private companion object {
        val SEEDS = 1..8
    }
}

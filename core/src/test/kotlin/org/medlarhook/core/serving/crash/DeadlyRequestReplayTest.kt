package org.medlarhook.core.serving.crash

import kotlin.test.Test
import kotlin.test.assertTrue

/** Compares ways to hold a request that crashes upstreams, over fixed seeds. */
class DeadlyRequestReplayTest {
    private enum class Hold(
        val suspectsOf: ((CrashCall) -> List<Suspect>)?,
    ) {
        NOTHING(null),
        PARTS_ONLY({ call -> call.parts.map { Suspect.Part(it) } }),
        CALLER({ call -> listOf(Suspect.Request(call.caller)) }),
        REQUEST(CrashReplay.Companion::wholeAndParts),
    }

    private fun lateArrivals(replay: CrashReplay): Int {
        val thirdMs = replay.badCrashesMs.getOrNull(2) ?: return 0
        return replay.badArrivalsMs.count { it > thirdMs + CrashReplay.CONTACT_MS }
    }

    private fun play(
        name: String,
        workload: () -> CrashWorkload,
        badPerS: Double,
        massCrashAtMs: Long? = null,
    ): Map<Hold, List<CrashReplay>> =
        Hold.entries.associateWith { hold ->
            val replays = SEEDS.map {
                CrashReplay(it, workload(), hold.suspectsOf, badPerS = badPerS, massCrashAtMs = massCrashAtMs).run()
            }
            println(
                "$name, $badPerS a second, hold $hold: crashes ${replays.minOf { it.badCrashesMs.size }} to " +
                    "${replays.maxOf { it.badCrashesMs.size }}, late ${replays.map(::lateArrivals)}, sound served " +
                    "%.4f, ".format(replays.sumOf { it.soundServed }.toDouble() / replays.sumOf { it.soundSent }) +
                    "refused ${replays.map { it.soundRefused }}",
            )
            replays
        }

    private fun check(name: String, workload: () -> CrashWorkload) {
        listOf(1.0, 5.0, 20.0).forEach { perS ->
            val played = play(name, workload, perS)
            val held = played.getValue(Hold.REQUEST)
            assertTrue(played.getValue(Hold.NOTHING).all { lateArrivals(it) > 3 })
            held.forEach { assertTrue(lateArrivals(it) <= 3, "${lateArrivals(it)} late at $perS a second") }
            val others = played.filterKeys { it != Hold.REQUEST }.values.map { replays ->
                replays.sumOf { it.soundServed }
            }
            assertTrue(held.sumOf { it.soundServed } > others.max())
        }
    }

    @Test
    fun `Given a prompt that crashes engines, then few are reached, and more is served than by holding callers`() {
        check("prompt") { DeadlyPrompt(answerLossShare = 0.0) }
    }

    @Test
    fun `Given answers that are lost beside such a prompt, then the same holds`() {
        check("prompt, lost answers") { DeadlyPrompt(answerLossShare = 0.03) }
    }

    @Test
    fun `Given a plain request that crashes upstreams, then it reaches few of them, and more is served than so`() {
        check("plain") { DeadlyPlainRequest(answerLossShare = 0.0) }
    }

    @Test
    fun `Given answers that are lost beside such a request, then the same holds`() {
        check("plain, lost answers") { DeadlyPlainRequest(answerLossShare = 0.03) }
    }

    @Test
    fun `Given lost answers and no such request, then hardly a sound request is refused`() {
        listOf({ DeadlyPrompt(LOSS_SHARE) }, { DeadlyPlainRequest(LOSS_SHARE) }).forEach { workload ->
            play("lost answers only", workload, 0.0).getValue(Hold.REQUEST).forEach {
                assertTrue(it.soundRefused <= it.soundSent * 0.005, "${it.soundRefused} of ${it.soundSent}")
            }
        }
    }

    @Test
    fun `Given all upstreams that crash at once and no such request, then nearly as much is served as without holds`() {
        listOf({ DeadlyPrompt(0.0) }, { DeadlyPlainRequest(0.0) }).forEach { workload ->
            val played = play("mass crash", workload, 0.0, massCrashAtMs = 10_000)
            val (held, baseline) = listOf(Hold.REQUEST, Hold.NOTHING).map { hold ->
                played.getValue(hold).sumOf { it.soundServed }
            }
            assertTrue(held >= baseline * 0.98, "$held served, $baseline without holds")
        }
    }

    private companion object {
        val SEEDS = 1..8
        const val LOSS_SHARE = 0.1
    }
}

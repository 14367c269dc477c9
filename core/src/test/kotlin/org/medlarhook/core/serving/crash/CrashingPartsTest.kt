package org.medlarhook.core.serving.crash

import org.medlarhook.core.serving.fleet.Incarnation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CrashingPartsTest {
    private fun engine(number: Int) = Incarnation("engine-$number", number.toLong())

    private fun CrashingParts.crashed(engines: IntRange, atMs: Long, vararg parts: String): CrashingParts =
        engines.fold(this) { state, number -> state.crashed(parts.toList(), engine(number), atMs) }

    @Test
    fun `Given three engines that crash under a part, then requests with it are refused and others are not`() {
        val two = CrashingParts().succeeded(listOf("system"), 0).crashed(1..2, 100, "system", "bad")
        assertNull(two.refusedFor(listOf("system", "bad"), 100))
        assertTrue(two.hasSuspect(listOf("bad")))

        val three = two.crashed(3..3, 200, "system", "bad")
        assertEquals("bad", three.refusedFor(listOf("system", "bad"), 200))
        assertNull(three.refusedFor(listOf("system", "sound"), 200))
    }

    @Test
    fun `Given one engine that is reported to have crashed several times, then it counts once`() {
        val state = CrashingParts().crashed(1..1, 0, "part").crashed(1..1, 50, "part").crashed(1..1, 900, "part")
        assertNull(state.refusedFor(listOf("part"), 900))
    }

    @Test
    fun `Given a complete answer, then its parts are cleared, in whichever order answer and crashes are told`() {
        val crashed = CrashingParts().crashed(1..4, 1_000, "part")
        assertEquals("part", crashed.refusedFor(listOf("part"), 1_500))
        val cleared = crashed.succeeded(listOf("part"), 1_500)
        assertNull(cleared.refusedFor(listOf("part"), 1_500))
        assertNull(cleared.crashed(1..4, 1_000, "part").refusedFor(listOf("part"), 1_500))
        assertTrue(cleared.refutes("part", 1_000))
    }

    @Test
    fun `Given a part that was sound until some time ago, then it is refused after five crashes`() {
        val sound = CrashingParts().succeeded(listOf("part"), 0)
        val atMs = CrashingParts.SOUND_MS + 1
        assertNull(sound.crashed(1..4, atMs, "part").refusedFor(listOf("part"), atMs))
        assertEquals("part", sound.crashed(1..5, atMs, "part").refusedFor(listOf("part"), atMs))
    }

    @Test
    fun `Given parts that were cut together, then the one with more crashes explains those of the other`() {
        val tied = CrashingParts().crashed(1..3, 0, "bad", "session")
        assertEquals(setOf("bad", "session"), tied.culprits)
        assertNull(tied.refusedFor(listOf("session"), 0), "each of the two may be sound")
        assertEquals("bad", tied.refusedFor(listOf("bad", "session"), 0))

        val apart = tied.crashed(4..4, 10, "bad")
        assertEquals(setOf("bad"), apart.culprits)
        assertNull(apart.refusedFor(listOf("session"), 10))
    }

    @Test
    fun `Given all engines that crash at once without such a part, then no part is quarantined`() {
        val answered = CrashingParts().succeeded(listOf("system"), 0)
        val crashed = (1..40).fold(answered) { state, number ->
            (1..6).fold(state) { all, request ->
                val session = "session-${(number * 6 + request) % 150}"
                all.crashed(listOf("system", session), engine(number), 100L)
            }
        }
        assertEquals(emptySet(), crashed.culprits)
    }

    @Test
    fun `Given a quarantine that has ended, then one more crash begins one that is twice as long`() {
        val state = CrashingParts().crashed(1..3, 0, "part")
        val heldMs = CrashingParts.holdMs(3)
        assertTrue(state.isQuarantined("part", heldMs - 1))
        assertFalse(state.isQuarantined("part", heldMs))
        val again = state.prune(heldMs).crashed(4..4, heldMs, "part")
        assertTrue(again.isQuarantined("part", heldMs + 2 * heldMs - 1))
        assertTrue(again.prune(100 * heldMs).evidence.isEmpty())
    }

    @Test
    fun `Given evidence against very many parts, then memory is limited and the strongest is kept`() {
        val strong = CrashingParts().crashed(1..3, 0, "bad")
        val state = (1..5_000).fold(strong) { all, number ->
            all.crashed(listOf("part-$number"), engine(9), number.toLong())
        }
        assertTrue(state.evidence.size <= CrashingParts.MAX_SUSPECTS, "${state.evidence.size} parts")
        assertEquals("bad", state.refusedFor(listOf("bad"), 5_000))
    }
}

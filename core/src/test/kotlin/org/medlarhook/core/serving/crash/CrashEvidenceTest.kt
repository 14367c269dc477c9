package org.medlarhook.core.serving.crash

import org.medlarhook.core.serving.fleet.Incarnation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CrashEvidenceTest {
    private fun engine(number: Int) = Incarnation("engine-$number", number.toLong())

    private fun part(id: String) = Suspect.Part(id)

    private fun request(id: String) = Suspect.Request(id)

    private fun CrashEvidence.crashed(engines: IntRange, atMs: Long, vararg parts: String): CrashEvidence =
        crashed(engines, atMs, *parts.map(::part).toTypedArray())

    private fun CrashEvidence.crashed(engines: IntRange, atMs: Long, vararg suspects: Suspect): CrashEvidence =
        engines.fold(this) { state, number -> state.crashed(suspects.toList(), engine(number), atMs) }

    private fun CrashEvidence.succeeded(parts: List<String>, atMs: Long) = succeeded(parts.map(::part), atMs)

    private fun CrashEvidence.refusedFor(parts: List<String>, nowMs: Long) = refusedFor(parts.map(::part), nowMs)?.id

    @Test
    fun `Given three engines that crash under a part, then requests with it are refused and others are not`() {
        val two = CrashEvidence().succeeded(listOf("system"), 0).crashed(1..2, 100, "system", "bad")
        assertNull(two.refusedFor(listOf("system", "bad"), 100))
        assertTrue(two.hasSuspect(listOf(part("bad"))))

        val three = two.crashed(3..3, 200, "system", "bad")
        assertEquals("bad", three.refusedFor(listOf("system", "bad"), 200))
        assertNull(three.refusedFor(listOf("system", "sound"), 200))
    }

    @Test
    fun `Given one engine that is reported to have crashed several times, then it counts once`() {
        val state = CrashEvidence().crashed(1..1, 0, "part").crashed(1..1, 50, "part").crashed(1..1, 900, "part")
        assertNull(state.refusedFor(listOf("part"), 900))
    }

    @Test
    fun `Given a complete answer, then its parts are cleared, in whichever order answer and crashes are told`() {
        val crashed = CrashEvidence().crashed(1..4, 1_000, "part")
        assertEquals("part", crashed.refusedFor(listOf("part"), 1_500))
        val cleared = crashed.succeeded(listOf("part"), 1_500)
        assertNull(cleared.refusedFor(listOf("part"), 1_500))
        assertNull(cleared.crashed(1..4, 1_000, "part").refusedFor(listOf("part"), 1_500))
        assertTrue(cleared.refutes(part("part"), 1_000))
    }

    @Test
    fun `Given a part that was sound until some time ago, then it is refused after five crashes`() {
        val sound = CrashEvidence().succeeded(listOf("part"), 0)
        val atMs = CrashEvidence.SOUND_MS + 1
        assertNull(sound.crashed(1..4, atMs, "part").refusedFor(listOf("part"), atMs))
        assertEquals("part", sound.crashed(1..5, atMs, "part").refusedFor(listOf("part"), atMs))
    }

    @Test
    fun `Given parts that were cut together, then the one with more crashes explains those of the other`() {
        val tied = CrashEvidence().crashed(1..3, 0, "bad", "session")
        assertEquals(setOf<Suspect>(part("bad"), part("session")), tied.culprits)
        assertNull(tied.refusedFor(listOf("session"), 0), "each of the two may be sound")
        assertEquals("bad", tied.refusedFor(listOf("bad", "session"), 0))

        val apart = tied.crashed(4..4, 10, "bad")
        assertEquals(setOf<Suspect>(part("bad")), apart.culprits)
        assertNull(apart.refusedFor(listOf("session"), 10))
    }

    @Test
    fun `Given all engines that crash at once without such a part, then no part is quarantined`() {
        val answered = CrashEvidence().succeeded(listOf("system"), 0)
        val crashed = (1..40).fold(answered) { state, number ->
            (1..6).fold(state) { all, request ->
                val session = "session-${(number * 6 + request) % 150}"
                all.crashed(listOf(part("system"), part(session)), engine(number), 100L)
            }
        }
        assertEquals(emptySet(), crashed.culprits)
    }

    @Test
    fun `Given a quarantine that has ended, then one more crash begins one that is twice as long`() {
        val state = CrashEvidence().crashed(1..3, 0, "part")
        val heldMs = CrashEvidence.holdMs(3)
        assertTrue(state.isQuarantined(part("part"), heldMs - 1))
        assertFalse(state.isQuarantined(part("part"), heldMs))
        val again = state.prune(heldMs).crashed(4..4, heldMs, "part")
        assertTrue(again.isQuarantined(part("part"), heldMs + 2 * heldMs - 1))
        assertTrue(again.prune(100 * heldMs).evidence.isEmpty())
    }

    @Test
    fun `Given evidence against very many parts, then memory is limited and the strongest is kept`() {
        val strong = CrashEvidence().crashed(1..3, 0, "bad")
        val state = (1..5_000).fold(strong) { all, number ->
            all.crashed(listOf(part("part-$number")), engine(9), number.toLong())
        }
        assertTrue(state.evidence.size <= CrashEvidence.MAX_SUSPECTS, "${state.evidence.size} parts")
        assertEquals("bad", state.refusedFor(listOf("bad"), 5_000))
    }

    @Test
    fun `Given a request under which three upstreams crash, then it is refused and its parts are not`() {
        val state = CrashEvidence().crashed(1..3, 0, request("deadly"), part("session"))

        assertEquals(request("deadly"), state.refusedFor(listOf(request("deadly"), part("session")), 0))
        assertNull(state.refusedFor(listOf(request("sound"), part("session")), 0))
    }

    @Test
    fun `Given a part under which two more upstreams crash than under any request, then the part is refused`() {
        val one = CrashEvidence().crashed(1..3, 0, request("first"), part("bad"))
        val two = one.crashed(4..4, 0, request("second"), part("bad"))
        assertNull(two.refusedFor(listOf(request("third"), part("bad")), 0))

        val three = two.crashed(5..5, 0, request("second"), part("bad"))
        assertEquals(part("bad"), three.refusedFor(listOf(request("third"), part("bad")), 0))
    }

    @Test
    fun `Given a part that was sound, then crashes that accused requests explain don't count against it`() {
        val atMs = CrashEvidence.SOUND_MS + 1
        val state = CrashEvidence().succeeded(listOf("system"), 0)
            .crashed(1..3, atMs, request("first"), part("system"))
            .crashed(4..6, atMs, request("second"), part("system"))

        assertEquals(setOf<Suspect>(request("first"), request("second")), state.culprits)
    }

    @Test
    fun `Given a request that was cut by all crashes of another, then it is refused for a short time only`() {
        val tied = CrashEvidence().crashed(1..4, 0, request("deadly"), request("sound"))
        val endMs = CrashEvidence.EARLY_PROBE_MS
        listOf("deadly", "sound").forEach {
            assertTrue(tied.isQuarantined(request(it), endMs - 1))
            assertFalse(tied.isQuarantined(request(it), endMs))
        }

        val apart = tied.crashed(5..5, endMs, request("deadly")).succeeded(listOf(request("sound")), endMs)
        assertTrue(apart.isQuarantined(request("deadly"), endMs + CrashEvidence.holdMs(5) - 1))
        assertNull(apart.refusedFor(listOf(request("sound")), endMs))
    }

    @Test
    fun `Given three crashes under a request, then it is probed early, and held for long after a fourth`() {
        val three = CrashEvidence().crashed(1..3, 0, request("frequent"))
        assertTrue(three.isQuarantined(request("frequent"), CrashEvidence.EARLY_PROBE_MS - 1))
        assertFalse(three.isQuarantined(request("frequent"), CrashEvidence.EARLY_PROBE_MS))

        val four = three.crashed(4..4, 0, request("frequent"))
        assertTrue(four.isQuarantined(request("frequent"), CrashEvidence.holdMs(4) - 1))
    }

    @Test
    fun `Given requests that a bad part's crashes have cut, then they are not refused`() {
        val state = CrashEvidence().crashed(1..5, 0, part("bad")).crashed(1..3, 0, request("sound"))

        assertEquals(setOf<Suspect>(part("bad")), state.culprits)
    }

    @Test
    fun `Given processes with different spreads, then their quarantines end at different times`() {
        val ends = listOf(0.0, 0.5, 1.0).map { spread ->
            val state = CrashEvidence(holdSpread = spread).crashed(1..4, 0, request("deadly"))
            (0..300_000L step 1_000).first { !state.isQuarantined(request("deadly"), it) }
        }
        assertEquals(ends.distinct().sorted(), ends)
        assertEquals(CrashEvidence.holdMs(4), ends.first())
    }

    @Test
    fun `Given the end of a quarantine, then one request is sent as a probe until an answer or a crash`() {
        val deadly = listOf(request("deadly"))
        val endMs = CrashEvidence.EARLY_PROBE_MS
        val ended = CrashEvidence().crashed(1..3, 0, request("deadly"))
        assertNull(ended.refusedFor(deadly, endMs))
        assertNull(ended.awaitedProbe(deadly, endMs))

        val probed = ended.probed(deadly, endMs)
        assertEquals(deadly.first(), probed.awaitedProbe(deadly, endMs + 100))
        assertNull(probed.succeeded(deadly, endMs + 100).awaitedProbe(deadly, endMs + 100))
        assertEquals(
            deadly.first(),
            probed.crashed(4..4, endMs + 100, request("deadly")).refusedFor(deadly, endMs + 100),
        )
    }

    @Test
    fun `Given parts that can't be told apart, then a request with one of them is no probe and holds up no other`() {
        val tied = CrashEvidence().crashed(1..3, 0, part("bad"), part("session"))
        val session = listOf(part("session"))

        assertNull(tied.probed(session, 10).awaitedProbe(session, 20))
    }
}

package org.medlarhook.core.serving.resume

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ReleaseReplayTest {
    private val outOfStep =
        mapOf(
            "cut off from the store" to ReleaseTroubles(cutsStore = true),
            "cut off from store and processes" to ReleaseTroubles(cutsStore = true, cutsDatagrams = true),
            "suspended" to ReleaseTroubles(suspends = true),
            "lost datagrams" to ReleaseTroubles(datagramLoss = 0.3),
            "restarted" to ReleaseTroubles(kills = true, datagramLoss = 0.3),
            "all" to
                ReleaseTroubles(
                    cutsStore = true,
                    cutsDatagrams = true,
                    suspends = true,
                    kills = true,
                    datagramLoss = 0.3,
                ),
        )
    private val calm = ReleaseTroubles(hasReleases = false)
    private val seenRelease = ReleaseTroubles()

    private fun play(rule: InferenceRule, troubles: ReleaseTroubles): ReleaseOutcome =
        (1L..SEEDS).map { ReleaseReplay(it, rule, troubles).run() }.reduce(ReleaseOutcome::plus)

    @Test
    fun `Given releases and processes out of step, then no stream goes on at another version`() {
        val outcomes = outOfStep.mapValues { (_, troubles) -> play(InferenceRule.READ_AFTERWARDS, troubles) }

        assertTrue(outcomes.values.all { it.wentOn > 0 }, "$outcomes")
        assertEquals(emptyMap(), outcomes.filterValues { it.wrong > 0 })
    }

    @Test
    fun `Given the same troubles, then an inference from a late read of the registry would be found out`() {
        val outcomes = outOfStep.mapValues { (_, troubles) -> play(InferenceRule.READ_LATELY, troubles) }

        assertTrue(outcomes.getValue("cut off from the store").wrong > 0, "$outcomes")
        assertTrue(outcomes.getValue("cut off from store and processes").wrong > 0, "$outcomes")
    }

    @Test
    fun `Given no trouble, then as many streams go on as by an inference from a late read`() {
        listOf(calm, seenRelease).forEach { troubles ->
            val before = play(InferenceRule.READ_LATELY, troubles)
            val after = play(InferenceRule.READ_AFTERWARDS, troubles)

            assertTrue(after.wentOn >= before.wentOn, "$after, $before")
        }
    }

    private companion object {
        const val SEEDS = 20L
    }
}

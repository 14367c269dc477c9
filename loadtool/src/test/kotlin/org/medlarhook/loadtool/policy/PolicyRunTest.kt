package org.medlarhook.loadtool.policy

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PolicyRunTest {
    private val mainVariant = PolicyVariant.ALL.first { it.name == "medlarhook" }
    private val lowLoad = PolicyScenario(
        name = "calm",
        durationS = 30.0,
        fleet = FleetSpec(listOf(RegionSpec("nord", 2), RegionSpec("sud", 2))),
        workspaces = listOf(WorkspaceSpec("a", demand = 3), WorkspaceSpec("b", demand = 1)),
        verdict = KindSpec(2_000, 1_500, prefixes = 2, outputTokens = 2, deadlineMs = 4_000.0, streamed = false),
        instruction = KindSpec(100, 50, prefixes = 1, outputTokens = 50, deadlineMs = 12_000.0, streamed = true),
        phases = listOf(PhasePoint(0.0, ratePerS = 4.0, verdictShare = 0.5)),
    )

    @Nested
    inner class Run {
        @Test
        fun `Given the same seed, then two runs have equal results`() {
            assertEquals(
                PolicyRun(lowLoad, mainVariant, seed = 3).run(),
                PolicyRun(lowLoad, mainVariant, seed = 3).run(),
            )
        }

        @Test
        fun `Given a low load, then every policy variant completes almost all requests in time`() {
            for (variant in PolicyVariant.ALL) {
                val figures = PolicyRun(lowLoad, variant, seed = 1).run()
                assertTrue(figures.goodput > 0.95, "${variant.name}: $figures")
            }
        }

        @Test
        fun `Given an engine outage, then its requests are retried within the retry budget`() {
            val outage = lowLoad.copy(faults = listOf(FaultSpec(fromS = 12.0, toS = 25.0, engine = 0)))
            val figures = PolicyRun(outage, mainVariant, seed = 1).run()
            assertTrue(figures.retryShare > 0 && figures.retryShare < 0.2, "$figures")
            assertTrue(figures.goodput > 0.9, "$figures")
        }
    }

    @Nested
    inner class Phases {
        @Test
        fun `Given two points, then the load is interpolated linearly between them`() {
            val ramp = lowLoad.copy(phases = listOf(PhasePoint(0.0, 10.0, 0.0), PhasePoint(10.0, 20.0, 1.0)))
            assertEquals(PhasePoint(5.0, 15.0, 0.5), ramp.phaseAt(5_000.0))
            assertEquals(PhasePoint(10.0, 20.0, 1.0), ramp.phaseAt(99_000.0))
        }
    }
}

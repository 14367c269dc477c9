package org.medlarhook.core.serving.load

import kotlin.test.Test
import kotlin.test.assertEquals

class LoopObservationTest {
    private val observed = LoopObservation().observed(4_900).observed(5_000)

    @Test
    fun `Given a loop on time, then what it reads has just arrived`() {
        assertEquals(5_000, LoopObservation().earliestArrivalMs(5_000))
        assertEquals(5_200, observed.earliestArrivalMs(5_200))
    }

    @Test
    fun `Given an overdue observation, then what the loop reads may have arrived since the last one`() {
        assertEquals(5_000, observed.earliestArrivalMs(6_500))
    }

    @Test
    fun `Given a loop that is late, then what its next turn reads may have arrived since the observation before`() {
        val late = observed.observed(6_500).observed(6_501).observed(6_502)

        assertEquals(5_000, late.earliestArrivalMs(6_505))
        assertEquals(6_515, late.caughtUp().earliestArrivalMs(6_515))
        assertEquals(6_650, late.observed(6_602).earliestArrivalMs(6_650))
    }
}

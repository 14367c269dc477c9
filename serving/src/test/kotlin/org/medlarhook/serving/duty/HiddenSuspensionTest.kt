package org.medlarhook.serving.duty

import kotlin.test.Test
import kotlin.test.assertEquals

/** A suspension during which the wall clock was set back by as much, so that only the store's clock shows it. */
class HiddenSuspensionTest {
    private val lone = LoneReporter()

    @Test
    fun `Given a suspension that the wall clock hides, then the requests' windows go on and the process is told`() {
        lone.run(steps = 4)
        val offsetMs = lone.requests.usage.offsetMs!!
        assertEquals(0, lone.requests.suspensions)
        lone.suspendedMs = 6_000
        lone.world.advance(6_000)
        lone.run(steps = 4)

        assertEquals(1, lone.requests.suspensions)
        assertEquals(offsetMs + 6_000, lone.requests.usage.offsetMs)
    }
}

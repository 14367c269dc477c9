package org.medlarhook.core.serving

import org.medlarhook.core.serving.trust.ConfigFreshness
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ConfigFreshnessTest {
    private val trust =
        ConfigFreshness(maxAgeMs = 4_400).observed(nowMs = 0, wallMs = 1_000_000).confirmed(100, begunInGeneration = 0)

    @Test
    fun `Given a read that began within the limit, then keys are accepted`() {
        assertTrue(trust.mayAccept(4_500))
    }

    @Test
    fun `Given no newer read, then keys are refused after the limit`() {
        assertFalse(trust.mayAccept(4_501))
    }

    @Test
    fun `Given a process that has read nothing, then keys are refused`() {
        assertFalse(ConfigFreshness(4_400).mayAccept(0))
    }

    @Test
    fun `Given a suspension that the steady clock misses, then keys are refused until a read after it`() {
        val woken = trust.observed(nowMs = 200, wallMs = 1_006_200)

        assertFalse(woken.mayAccept(200))
        assertFalse(woken.confirmed(150, begunInGeneration = 0).mayAccept(210))
        assertTrue(woken.confirmed(210, begunInGeneration = woken.generation).mayAccept(220))
    }

    @Test
    fun `Given a wall clock that jumps back, then keys are still accepted`() {
        assertTrue(trust.observed(nowMs = 200, wallMs = 998_000).mayAccept(200))
    }
}

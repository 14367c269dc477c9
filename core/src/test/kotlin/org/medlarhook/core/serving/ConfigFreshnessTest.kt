package org.medlarhook.core.serving

import org.medlarhook.core.serving.trust.ConfigFreshness
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ConfigFreshnessTest {
    private val freshness =
        ConfigFreshness(maxAgeMs = 4_400).observed(nowMs = 0, wallMs = 1_000_000).confirmed(100, begunInGeneration = 0)

    @Test
    fun `Given a read that began within the age limit, then keys are accepted`() {
        assertTrue(freshness.mayAccept(4_500))
    }

    @Test
    fun `Given no newer read, then keys are refused after the age limit`() {
        assertFalse(freshness.mayAccept(4_501))
    }

    @Test
    fun `Given no read of the configuration, then keys are refused`() {
        assertFalse(ConfigFreshness(4_400).mayAccept(0))
    }

    @Test
    fun `Given a suspension that the monotonic clock does not count, then keys are refused until a later read`() {
        val resumed = freshness.observed(nowMs = 200, wallMs = 1_006_200)

        assertFalse(resumed.mayAccept(200))
        assertFalse(resumed.confirmed(150, begunInGeneration = 0).mayAccept(210))
        assertTrue(resumed.confirmed(210, begunInGeneration = resumed.generation).mayAccept(220))
    }

    @Test
    fun `Given a store that shows an older version than before, then reads confirm nothing until it is back`() {
        val restored = freshness.shown(version = 7).storeRestored().shown(version = 5)

        assertFalse(restored.confirmed(2_000, begunInGeneration = 0).mayAccept(4_501))
        assertTrue(restored.shown(version = 7).confirmed(2_000, begunInGeneration = 0).mayAccept(4_501))
    }

    @Test
    fun `Given a store that shows no version after a drill, then reads confirm nothing`() {
        val restored = freshness.shown(version = 7).storeRestored()

        assertFalse(restored.confirmed(2_000, begunInGeneration = 0).mayAccept(4_501))
        assertTrue(restored.confirmed(2_000, begunInGeneration = 0).mayAccept(4_500))
    }

    @Test
    fun `Given a wall clock that jumps back, then keys are still accepted`() {
        assertTrue(freshness.observed(nowMs = 200, wallMs = 998_000).mayAccept(200))
    }

    @Test
    fun `Given a suspension that only the store's clock shows, then keys are refused until a later read`() {
        val resumed = freshness.observed(nowMs = 200, wallMs = 1_000_200).suspended()

        assertFalse(resumed.mayAccept(200))
        assertFalse(resumed.confirmed(150, begunInGeneration = 0).mayAccept(210))
        assertTrue(resumed.confirmed(210, begunInGeneration = resumed.generation).mayAccept(220))
    }
}

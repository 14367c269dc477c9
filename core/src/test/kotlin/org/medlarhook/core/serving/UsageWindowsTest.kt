package org.medlarhook.core.serving

import org.medlarhook.core.serving.usage.UsageWindows
import kotlin.test.Test
import kotlin.test.assertEquals

class UsageWindowsTest {
    @Test
    fun `Given requests counted before the offset is known, then the offset assigns them to their windows`() {
        val windows = UsageWindows(5_000).counted("w", 100).counted("w", 4_900).withOffset(10_200)

        assertEquals(mapOf("w" to 1L), windows.counts[2]?.toMap())
        assertEquals(mapOf("w" to 1L), windows.counts[3]?.toMap())
    }

    @Test
    fun `Given requests of two workspaces in one window, then they are counted separately`() {
        val windows = UsageWindows(5_000).withOffset(0).counted("w", 1).counted("v", 2).counted("w", 3)

        assertEquals(mapOf("w" to 2L, "v" to 1L), windows.counts[0]?.toMap())
    }

    @Test
    fun `Given old windows, when those before a window are removed, then later ones remain`() {
        val windows = UsageWindows(5_000).withOffset(0).counted("w", 1).counted("w", 20_000).forgetBefore(4)

        assertEquals(setOf(4L), windows.counts.keys)
    }
}

package org.medlarhook.standins.platform

import org.junit.jupiter.api.Nested
import org.medlarhook.ports.ListedVm
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LaggingVmListTest {
    private val list = LaggingVmList(lagMs = 100)

    private fun shownAt(nowMs: Long) = list.shown(nowMs).map { it.vmId }.sorted()

    @Nested
    inner class Shown {
        @Test
        fun `Given a VM that is put, then it shows only after the lag`() {
            list.put(ListedVm("a", "d1", leaving = false), nowMs = 1_000)
            assertTrue(shownAt(1_099).isEmpty())
            assertEquals(listOf("a"), shownAt(1_100))
        }

        @Test
        fun `Given several changes within the lag, then each shows in its turn`() {
            list.put(ListedVm("a", "d1", leaving = false), nowMs = 1_000)
            list.put(ListedVm("b", "d1", leaving = false), nowMs = 1_050)
            list.remove("a", nowMs = 1_060)
            assertEquals(listOf("a"), shownAt(1_120))
            assertEquals(listOf("a", "b"), shownAt(1_155))
            assertEquals(listOf("b"), shownAt(1_160))
        }
    }
}

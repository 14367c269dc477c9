package org.medlarhook.standins.platform

import org.junit.jupiter.api.Nested
import org.medlarhook.ports.ListedVm
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LaggingVmListTest {
    private val list = LaggingVmList(lagMs = 100)

    private fun visibleIdsAt(nowMs: Long) = list.visibleAt(nowMs).map { it.vmId }.sorted()

    @Nested
    inner class Visibility {
        @Test
        fun `Given an added VM, then it is visible only after the lag`() {
            list.put(ListedVm("a", "d1", leaving = false), nowMs = 1_000)
            assertTrue(visibleIdsAt(1_099).isEmpty())
            assertEquals(listOf("a"), visibleIdsAt(1_100))
        }

        @Test
        fun `Given several changes within the lag, then each becomes visible after its own lag`() {
            list.put(ListedVm("a", "d1", leaving = false), nowMs = 1_000)
            list.put(ListedVm("b", "d1", leaving = false), nowMs = 1_050)
            list.remove("a", nowMs = 1_060)
            assertEquals(listOf("a"), visibleIdsAt(1_120))
            assertEquals(listOf("a", "b"), visibleIdsAt(1_155))
            assertEquals(listOf("b"), visibleIdsAt(1_160))
        }
    }
}

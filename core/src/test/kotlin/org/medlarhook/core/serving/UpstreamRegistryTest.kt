package org.medlarhook.core.serving

import org.medlarhook.core.serving.fleet.RegistryChange
import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.fleet.UpstreamRegistry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class UpstreamRegistryTest {
    private val both = RegistryUpdate.Listing(listOf(upstream("a"), upstream("b")))
    private val onlyA = RegistryUpdate.Listing(listOf(upstream("a")))
    private val listed = UpstreamRegistry().apply(both, 0)

    private fun written(upstream: Upstream) = RegistryUpdate.Changes(listOf(RegistryChange.Written(upstream)))

    private fun removed(id: String) = RegistryUpdate.Changes(listOf(RegistryChange.Removed(id)))

    private fun UpstreamRegistry.ids() = serving("lm").map { it.id }.sorted()

    @Test
    fun `Given no outage, when a registration vanishes, then its upstream gets no more work`() {
        assertEquals(listOf("a"), listed.apply(removed("b"), 10).ids())
    }

    @Test
    fun `Given a registration that expires in an outage, then its upstream stays until it could register again`() {
        val recovered = listed.apply(RegistryUpdate.Unreachable, 10).apply(onlyA, 5_000)

        assertEquals(listOf("a", "b"), recovered.ids())
        assertEquals(listOf("a", "b"), recovered.expire(7_000).ids())
        assertEquals(listOf("a"), recovered.expire(7_400).ids())
    }

    @Test
    fun `Given an upstream that registers again after an outage, then it still gets work`() {
        val recovered =
            listed
                .apply(RegistryUpdate.Unreachable, 10)
                .apply(onlyA, 5_000)
                .apply(written(upstream("b")), 6_000)

        assertEquals(listOf("a", "b"), recovered.expire(9_000).ids())
    }

    @Test
    fun `Given a draining upstream, then it gets no work, during an outage either`() {
        val draining = written(upstream("b") { isDraining = true })
        val unreachable = listed.apply(draining, 10).apply(RegistryUpdate.Unreachable, 20)

        assertEquals(listOf("a"), unreachable.ids())
        assertEquals(listOf("a"), unreachable.apply(onlyA, 5_000).ids())
    }

    @Test
    fun `Given an upstream that has restarted under its id, then it is another incarnation`() {
        val restarted = listed.apply(written(upstream("b") { startedAtMs = 2 }), 10)

        assertEquals(2, restarted.find("b")?.incarnation?.startedAtMs)
    }

    @Test
    fun `Given one update with a registration and its removal, then the removal is of an upstream that was seen`() {
        val comesAndLeaves = listOf(RegistryChange.Written(upstream("c")), RegistryChange.Removed("c"))

        assertFalse(RegistryUpdate.Changes(comesAndLeaves).removesUnseen(setOf("a")))
        assertTrue(RegistryUpdate.Changes(comesAndLeaves.reversed()).removesUnseen(setOf("a")))
    }
}

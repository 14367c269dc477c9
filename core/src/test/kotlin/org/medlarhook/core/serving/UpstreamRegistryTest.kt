package org.medlarhook.core.serving

import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.core.serving.fleet.UpstreamRegistry
import kotlin.test.Test
import kotlin.test.assertEquals

class UpstreamRegistryTest {
    private val both = RegistryUpdate.Listing(listOf(upstream("a"), upstream("b")))
    private val onlyA = RegistryUpdate.Listing(listOf(upstream("a")))
    private val listed = UpstreamRegistry().apply(both, 0)

    private fun UpstreamRegistry.ids() = serving("lm").map { it.id }.sorted()

    @Test
    fun `Given a registration that vanishes while the registry is well, then its upstream gets no more work`() {
        assertEquals(listOf("a"), listed.apply(RegistryUpdate.Changes(emptyList(), listOf("b")), 10).ids())
    }

    @Test
    fun `Given a registration that lapsed in an outage, then its upstream is kept until it could be back`() {
        val back = listed.apply(RegistryUpdate.Unreachable, 10).apply(onlyA, 5_000)

        assertEquals(listOf("a", "b"), back.ids())
        assertEquals(listOf("a", "b"), back.expire(7_000).ids())
        assertEquals(listOf("a"), back.expire(7_400).ids())
    }

    @Test
    fun `Given an upstream that registers again after an outage, then it stays`() {
        val back =
            listed
                .apply(RegistryUpdate.Unreachable, 10)
                .apply(onlyA, 5_000)
                .apply(RegistryUpdate.Changes(listOf(upstream("b")), emptyList()), 6_000)

        assertEquals(listOf("a", "b"), back.expire(9_000).ids())
    }

    @Test
    fun `Given an upstream that drains, then it gets no work, during an outage as well`() {
        val draining = RegistryUpdate.Changes(listOf(upstream("b") { isDraining = true }), emptyList())
        val lost = listed.apply(draining, 10).apply(RegistryUpdate.Unreachable, 20)

        assertEquals(listOf("a"), lost.ids())
        assertEquals(listOf("a"), lost.apply(onlyA, 5_000).ids())
    }

    @Test
    fun `Given an upstream born again under its id, then it is another incarnation`() {
        val reborn = listed.apply(RegistryUpdate.Changes(listOf(upstream("b") { startedAtMs = 2 }), emptyList()), 10)

        assertEquals(2, reborn.find("b")?.incarnation?.startedAtMs)
    }
}

package org.medlarhook.core.serving

import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.LeavingUpstreams
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class LeavingUpstreamsTest {
    private val first = Incarnation("a", 1)
    private val successor = Incarnation("a", 2)
    private val leaving = LeavingUpstreams().announced(first, 1_000)

    @Test
    fun `Given an upstream that leaves, then its successor under the same id does not leave`() {
        assertTrue(first in leaving)
        assertFalse(successor in leaving)
    }

    @Test
    fun `Given a registration that lasts for minutes, then its upstream leaves until some time after it is gone`() {
        val registered = (1..10).fold(leaving) { known, minute -> known.prune(setOf(first), minute * 60_000L) }

        assertTrue(first in registered)
        assertTrue(first in registered.prune(setOf(successor), 605_000))
        assertFalse(first in registered.prune(setOf(successor), 660_000))
    }

    @Test
    fun `Given a registration that vanishes and comes back, then its upstream still leaves`() {
        val back = leaving.prune(emptySet(), 30_000).prune(setOf(first), 31_000)

        assertTrue(first in back.prune(emptySet(), 90_000))
    }

    @Test
    fun `Given nothing announced, then pruning changes nothing`() {
        assertEquals(LeavingUpstreams(), LeavingUpstreams().prune(setOf(first), 5))
    }
}

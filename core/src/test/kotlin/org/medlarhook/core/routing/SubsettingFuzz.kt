package org.medlarhook.core.routing

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SubsettingFuzz {
    @Property(seed = "21", tries = 100)
    fun `Given any membership, then subsets have their size and the watchers per upstream are bounded`(
        @ForAll @IntRange(min = 1, max = 40) entries: Int,
        @ForAll @IntRange(min = 1, max = 80) upstreams: Int,
        @ForAll @IntRange(min = 1, max = 12) size: Int,
    ) {
        val entryIds = (1..entries).map { "e$it" }.toSet()
        val upstreamIds = (1..upstreams).map { "u$it" }.toSet()
        val assignment = Subsetting(size).assignment(entryIds, upstreamIds)
        val maxWatchers = (entries * minOf(size, upstreams) + upstreams - 1) / upstreams + 1
        assertTrue(assignment.values.all { it.size == minOf(size, upstreams) })
        assertTrue(upstreamIds.all { id -> assignment.values.count { id in it } <= maxWatchers })
        assertEquals(assignment.getValue("e1"), Subsetting(size).subset("e1", entryIds, upstreamIds))
    }
}

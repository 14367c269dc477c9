package org.medlarhook.core.lease

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class LeaseCandidatesTest {
    private val members = (1..40).map { "entry-$it" }.toSet()

    @Nested
    inner class IsCandidate {
        @Test
        fun `Given 40 members and 19 scopes, then each scope has exactly the requested number of candidates`() {
            (1..19).map { LeaseScope.upstreams("dc$it") }.forEach { scope ->
                assertEquals(3, members.count { LeaseCandidates.isCandidate(scope, it, members, count = 3) })
            }
        }
    }
}

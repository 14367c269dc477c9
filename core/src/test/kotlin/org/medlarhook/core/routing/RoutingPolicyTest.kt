package org.medlarhook.core.routing

import org.junit.jupiter.api.Nested
import org.medlarhook.core.role.UpstreamRole
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RoutingPolicyTest {
    private val policy = TokenWorkPolicy(Random(1), localRegion = "nord")
    private val idle = listOf("u1", "u2", "u3", "u4").map { candidate(it) }

    private fun chosen(request: RouteRequest, candidates: List<Candidate>, by: RoutingPolicy = policy): String =
        assertIs<RouteDecision.Chosen>(by.choose(request, candidates, nowMs = 0)).upstreamId

    @Nested
    inner class EveryPolicy {
        @Test
        fun `Given upstreams that can't serve the request, then no policy chooses them`() {
            val ineligible = listOf(
                candidate("other", served = setOf(ModelRef("other"))),
                candidate("tuned", served = setOf(MODEL.copy(adapter = "x"))),
                candidate("draining").copy(accepting = false),
                candidate("tried"),
                candidate("ejected", health = UpstreamHealth(ejected = true)),
            )
            for (name in RoutingPolicyName.entries) {
                val by = name.create(Random(1), "nord")
                repeat(20) {
                    assertEquals("fit", chosen(request(excluded = setOf("tried")), ineligible + candidate("fit"), by))
                }
                val none = by.choose(request(excluded = setOf("tried")), ineligible.take(4), nowMs = 0)
                assertIs<RouteDecision.NoUpstream>(none)
            }
        }

        @Test
        fun `Given roles, then short answers go to prefill and long ones to decode upstreams`() {
            val split = listOf(
                candidate("p").copy(role = UpstreamRole.PREFILL),
                candidate("d").copy(role = UpstreamRole.DECODE),
            )
            assertEquals("p", chosen(request(decodeTokens = 2), split))
            assertEquals("d", chosen(request(decodeTokens = 200), split))
            assertEquals("p", chosen(request(decodeTokens = 200), split.take(1)))
        }
    }

    @Nested
    inner class TokenWork {
        @Test
        fun `Given one long prompt or many short ones, then the work decides and not the number of requests`() {
            val long = candidate("long", own = WorkTokens(50_000, 0), ownRequests = 1)
            val short = candidate("short", own = WorkTokens(500, 40), ownRequests = 4)
            assertEquals("short", chosen(request(), listOf(long, short)))
            assertEquals("long", chosen(request(), listOf(long, short), LeastOutstandingPolicy()))
        }

        @Test
        fun `Given a shared prefix, then its requests go only to the owners of the prefix`() {
            val chosenIds = (1..50).map { chosen(request(prefixHash = 7), idle) }.toSet()
            assertTrue(chosenIds.size <= TokenWorkSettings().ownersPerPrefix, "$chosenIds")
        }

        @Test
        fun `Given prefix owners above the load bound, then another upstream is chosen`() {
            val owners = RendezvousHash.top(7, idle, 2) { it.upstreamId }.map { it.upstreamId }
            val loaded = idle.map { if (it.upstreamId in owners) busy(it) else it }
            assertTrue(chosen(request(prefixHash = 7), loaded) !in owners)
        }

        @Test
        fun `Given a link cost, then another region is chosen only if it saves enough wait`() {
            val remote = candidate("remote", region = "sud", link = Link(latencyMs = 20.0, costPerMb = 50.0))
            val local = candidate("local")
            assertEquals("local", chosen(request(), listOf(local, remote)))
            assertEquals("remote", chosen(request(), listOf(busy(local), remote)))
        }

        @Test
        fun `Given an upstream in slow start, then it is chosen only over an upstream with much work`() {
            val slowStarting = candidate("new", health = UpstreamHealth(admittedShare = 0.1))
            val old = candidate("old", own = WorkTokens(1_000, 10), ownRequests = 1)
            assertEquals("old", chosen(request(), listOf(slowStarting, old)))
            assertEquals("new", chosen(request(), listOf(slowStarting, busy(old))))
        }

        private fun busy(candidate: Candidate): Candidate =
            candidate.copy(load = candidate.load.copy(own = WorkTokens(80_000, 4_000), ownRequests = 20))
    }

    @Nested
    inner class SpillOverTarget {
        private val summaries = listOf(DataCentreSummary("sud-1", "sud", 50.0, setOf(MODEL), updatedAtMs = 0))
        private val links = mapOf("sud-1" to Link(latencyMs = 20.0))

        @Test
        fun `Given summaries, then a request leaves its data centre only for a gain and by a recent summary`() {
            assertEquals("sud-1", SpillOver().target(request(), 500.0, summaries, links, nowMs = 0))
            assertEquals(null, SpillOver().target(request(), 150.0, summaries, links, nowMs = 0))
            assertEquals(null, SpillOver().target(request(), 500.0, summaries, links, nowMs = 60_000))
        }
    }
}

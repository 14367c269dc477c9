package org.medlarhook.core.fuzz

import org.junit.jupiter.api.Nested
import org.medlarhook.core.directory.AuthorityDecision
import org.medlarhook.core.directory.WithdrawalStatus
import org.medlarhook.fakes.TableFault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Checks [AuthorityDecision] in the situations that operators meet: outages, partitions and withdrawals. */
class AuthorityTest {
    private val simulation = DirectorySimulation(entryCount = 4).apply { run(SETTLE_MS) }
    private val first = simulation.entries.first()

    private fun refusesNow(entry: FuzzEntry) = entry.decide(simulation.nowMs) is AuthorityDecision.Refuse

    /** Runs the simulation for [durationMs], and returns the longest time for which any entry refused in total. */
    private fun refusedMs(durationMs: Long): Long {
        val refused = mutableMapOf<FuzzEntry, Long>()
        repeat((durationMs / DirectorySimulation.TICK_MS).toInt()) {
            simulation.run(DirectorySimulation.TICK_MS)
            simulation.entries.filter { it.running && refusesNow(it) }.forEach {
                refused.merge(it, DirectorySimulation.TICK_MS, Long::plus)
            }
        }
        return refused.values.maxOrNull() ?: 0
    }

    private fun setTables(fault: TableFault) = simulation.entries.forEach { it.tables.fault = fault }

    @Nested
    inner class Outage {
        @Test
        fun `Given an outage for all, then connected entries serve on, except shortly at its start and end`() {
            setTables(TableFault.UNAVAILABLE)
            val startMs = refusedMs(OUTAGE_MS)
            assertEquals(0, refusedMs(OUTAGE_MS))
            setTables(TableFault.NONE)
            val endMs = refusedMs(OUTAGE_MS)
            println("outage for all: refused for $startMs ms at its start and $endMs ms at its end")
            assertTrue(startMs <= MAX_GAP_MS, "refused for $startMs ms")
            assertTrue(endMs <= MAX_GAP_MS, "refused for $endMs ms")
        }

        @Test
        fun `Given tables that never answer, then connected entries serve on, except shortly at the start`() {
            simulation.platformDelayMs = Int.MAX_VALUE.toLong()
            val startMs = refusedMs(OUTAGE_MS)
            println("tables that never answer: refused for $startMs ms at the start")
            assertTrue(startMs <= MAX_GAP_MS, "refused for $startMs ms")
            assertEquals(0, refusedMs(OUTAGE_MS))
        }

        @Test
        fun `Given an outage and an entry that stops, then the others refuse, since it may have written before`() {
            setTables(TableFault.UNAVAILABLE)
            simulation.run(OUTAGE_MS)
            simulation.kill(first)
            simulation.run(OUTAGE_MS)
            assertTrue(simulation.entries.drop(1).all { refusesNow(it) })
        }
    }

    @Nested
    inner class Partition {
        @Test
        fun `Given an entry that reaches its peers but not the tables, then it serves on`() {
            first.tables.fault = TableFault.UNAVAILABLE
            assertEquals(0, refusedMs(OUTAGE_MS))
        }

        @Test
        fun `Given an entry that reaches neither tables nor peers, then it alone refuses, with a time to retry`() {
            simulation.isolateFromPeers(first)
            first.tables.fault = TableFault.UNAVAILABLE
            simulation.run(OUTAGE_MS)
            val refusal = assertIs<AuthorityDecision.Refuse>(first.decide(simulation.nowMs))
            assertTrue(refusal.retryAfterMs > 0)
            assertEquals(simulation.entries.drop(1).map { it.id }.toSet(), refusal.waitingFor.toSet())
            assertTrue(simulation.entries.drop(1).none { refusesNow(it) })
        }

        @Test
        fun `Given a process that was paused, then it refuses until it has read the tables again`() {
            first.paused = true
            simulation.run(OUTAGE_MS)
            first.paused = false
            assertTrue(refusesNow(first))
            assertTrue(refusedMs(OUTAGE_MS) <= MAX_GAP_MS)
        }
    }

    @Nested
    inner class Withdrawals {
        private val writtenMs = simulation.nowMs

        private fun status() =
            WithdrawalStatus.of(first.state, 2, first.clockMs(writtenMs), first.clockMs(simulation.nowMs))

        @Test
        fun `Given an entry that is cut off, then the withdrawal waits for it by name, at most until the bound`() {
            val cutOff = simulation.entries.last()
            simulation.isolateFromPeers(cutOff)
            cutOff.tables.fault = TableFault.UNAVAILABLE
            simulation.requestChange(first, withdraw = true)
            simulation.run(3_000)
            assertEquals(listOf(cutOff.id), assertIs<WithdrawalStatus.Waiting>(status()).waitingFor)
            simulation.run(2_000)
            assertEquals(WithdrawalStatus.InForce(listOf(cutOff.id)), status())
            assertTrue(refusesNow(cutOff))
        }

        @Test
        fun `Given entries that are all connected, then the withdrawal is in force before the bound`() {
            simulation.requestChange(first, withdraw = true)
            simulation.run(3_000)
            assertEquals(WithdrawalStatus.InForce(emptyList()), status())
        }
    }

    private companion object {
        const val SETTLE_MS = 10_000L
        const val OUTAGE_MS = 60_000L
        const val MAX_GAP_MS = 3_000L
    }
}

package org.medlarhook.serving.duty

import org.medlarhook.core.lease.Authority
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.row.RowJson
import org.medlarhook.core.serving.usage.SharedClockRow
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.fakes.ManualTimeSource
import org.medlarhook.ports.Condition
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.serving.process.StoreEra
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class SharedClockTest {
    private val world = ManualTimeSource()
    private val tables = InMemoryTableService()
    private val era = object : StoreEra {
        override var current: Long? = 0
    }

    /** The time that a suspension of the process under test took, which its monotonic clock does not count. */
    private var suspendedMs = 0L
    private val time = object : TimeSource {
        override fun monotonicMs(): Long = world.monotonicMs() - suspendedMs

        override fun wallMs(): Long = world.wallMs()
    }
    private val storeClock = object : StoreClock {
        override fun readMs(): Long = world.monotonicMs()
    }
    private val clock = SharedClock(tables, storeClock, time, era)
    private val frozen = FrozenWindows(tables, era)
    private val authority = Authority(LeaseScope("usage"), epoch = 1, Condition.ABSENT, Long.MAX_VALUE)

    private fun raise(byMs: Long) {
        val row = assertNotNull(tables.read(KEY).getOrNull())
        val raised = RowJson.decode<SharedClockRow>(row.value).let { it.copy(offsetMs = it.offsetMs + byMs) }
        tables.transact(Transaction(listOf(Condition(KEY, row.version)), listOf(Write(KEY, RowJson.encode(raised)))))
    }

    @Test
    fun `Given a suspension, then the process is in doubt until it agrees, and is then no longer behind`() {
        assertTrue(clock.agree())
        val offsetMs = clock.offsetMs!!
        suspendedMs = 5_000
        world.advance(5_000)
        clock.observe()
        assertFalse(clock.isSure)

        assertTrue(clock.agree())
        assertTrue(clock.isSure)
        assertEquals(offsetMs + 5_000, clock.offsetMs)
    }

    @Test
    fun `Given that another process has raised the shared clock, then no sum is written before the process follows`() {
        assertTrue(clock.agree())
        raise(byMs = 4_000)

        assertNull(frozen.freeze(7, authority, clock) { mapOf("w" to 1L) })
        assertFalse(clock.isAgreedIn(0))
        assertTrue(clock.agree())
        assertEquals(mapOf("w" to 1L), frozen.freeze(7, authority, clock) { mapOf("w" to 1L) })
    }

    @Test
    fun `Given rows that can't be read, then they count as absent`() {
        listOf("offset" to "{", "offset@x" to "7").forEach { (key, value) ->
            tables.transact(Transaction(emptyList(), listOf(Write(RowKey("clock", key), value))))
        }

        assertTrue(clock.agree())
        assertEquals(world.wallMs() - world.monotonicMs(), clock.offsetMs)
    }

    @Test
    fun `Given an offset as a plain number, as earlier programs write it, then the process follows it`() {
        tables.transact(Transaction(emptyList(), listOf(Write(KEY, "1234"))))

        assertTrue(clock.agree())
        assertEquals(1_234, clock.offsetMs)
    }

    @Test
    fun `Given a sum that can't be read, then no other one is formed`() {
        assertTrue(clock.agree())
        val key = RowKey("usage-window", windowKey(7))
        tables.transact(Transaction(emptyList(), listOf(Write(key, "{"))))

        assertNull(frozen.freeze(7, authority, clock) { mapOf("w" to 1L) })
    }

    @Test
    fun `Given a suspension while the row is read, then no offset is written`() {
        val suspending = object : TableService by tables {
            override fun scan(table: String, prefix: String, afterKey: String, limit: Int) =
                tables.scan(table, prefix, afterKey, limit).also {
                    suspendedMs += 5_000
                    world.advance(5_000)
                }
        }

        assertFalse(SharedClock(suspending, storeClock, time, era).agree())
        assertNull(tables.read(KEY).getOrNull())
    }

    private companion object {
        val KEY = RowKey("clock", "offset")
    }
}

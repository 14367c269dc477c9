package org.medlarhook.fakes

import arrow.core.getOrElse
import org.junit.jupiter.api.Nested
import org.medlarhook.ports.Condition
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class InMemoryTableServiceTest {
    private val tables = InMemoryTableService()

    private fun put(key: String, value: String, version: Long? = null) =
        tables.transact(
            Transaction(
                conditions = listOfNotNull(version?.let { Condition(RowKey("t", key), it) }),
                writes = listOf(Write(RowKey("t", key), value)),
            ),
        )

    @Nested
    inner class Transact {
        @Test
        fun `Given an existing row, then an insert conflicts and returns the row`() {
            put("a", "1")
            val failure = assertIs<TableFailure.Conflict>(put("a", "2", Condition.ABSENT).leftOrNull())
            assertEquals(listOf("1"), failure.current.map { it.value })
        }

        @Test
        fun `Given a lost answer, then the write is applied and its outcome is unknown to the caller`() {
            val faulty = FaultyTableService(tables)
            faulty.fault = TableFault.ANSWER_LOST
            val result = faulty.transact(Transaction(emptyList(), listOf(Write(RowKey("t", "a"), "1"))))
            assertIs<TableFailure.OutcomeUnknown>(result.leftOrNull())
            assertEquals("1", tables.read(RowKey("t", "a")).getOrElse { null }?.value)
        }
    }

    @Nested
    inner class Scan {
        @Test
        fun `Given a prefix and a start key, then only rows of the prefix after the key are returned in order`() {
            listOf("a/2", "a/1", "b/1", "a/3").forEach { put(it, it) }
            val rows = tables.scan("t", prefix = "a/", afterKey = "a/1").getOrElse { emptyList() }
            assertEquals(listOf("a/2", "a/3"), rows.map { it.value })
        }
    }
}

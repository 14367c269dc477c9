package org.medlarhook.core.directory

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.junit.jupiter.api.Nested
import org.medlarhook.core.directory.Changes.put
import org.medlarhook.fakes.FaultyTableService
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.fakes.TableFault
import org.medlarhook.ports.Committed
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class DirectoryLogTest {
    private val tables = InMemoryTableService()
    private val objects = MapObjectStore()
    private val log = DirectoryLog(tables)
    private val reader = DirectoryReader(tables, objects)

    private fun versions() = log.readAfter(0).getOrNull().orEmpty().map { it.version to it.nonce }

    /** Table service that loses the answers of the first [losses] transactions, which take effect if [effective]. */
    private inner class LossyAnswers(
        private var losses: Int,
        private val effective: Boolean,
    ) : TableService by tables {
        override fun transact(transaction: Transaction): Either<TableFailure, Committed> {
            if (losses == 0) return tables.transact(transaction)
            losses--
            if (effective) tables.transact(transaction)
            return TableFailure.OutcomeUnknown("lost").left()
        }
    }

    @Nested
    inner class Append {
        @Test
        fun `Given two writers of one version, then one succeeds and the other gets its change`() {
            assertEquals(1L.right(), log.append(put(1, nonce = "a")))
            val failure = assertIs<AppendFailure.Conflict>(log.append(put(1, nonce = "b")).leftOrNull())
            assertEquals(listOf("a"), failure.changes.map { it.nonce })
        }

        @Test
        fun `Given a writer that is ahead of the log, then it is refused`() {
            assertEquals(AppendFailure.Conflict(0, emptyList()).left(), log.append(put(2)))
        }

        @Test
        fun `Given a lost answer or a lost request, then the change is written once and acknowledged`() {
            listOf(true, false).forEachIndexed { index, effective ->
                val version = index + 1L
                assertEquals(version.right(), DirectoryLog(LossyAnswers(1, effective)).append(put(version)))
            }
            assertEquals(listOf(1L to "n1", 2L to "n2"), versions())
        }

        @Test
        fun `Given answers that stay lost, then the outcome is unknown and a later append settles it`() {
            val faulty = FaultyTableService(tables)
            faulty.fault = TableFault.REQUEST_LOST
            assertIs<AppendFailure.Unavailable>(DirectoryLog(faulty).append(put(1)).leftOrNull())
            assertIs<AppendFailure.OutcomeUnknown>(DirectoryLog(LossyAnswers(3, false)).append(put(1)).leftOrNull())
            assertEquals(1L.right(), log.append(put(1)))
            assertEquals(1L.right(), log.append(put(1)))
            assertEquals(listOf(1L to "n1"), versions())
        }

        @Test
        fun `Given a snapshot that replaces the head row meanwhile, then the change is still written`() {
            log.append(put(1))
            val racing = object : TableService by tables {
                override fun transact(transaction: Transaction): Either<TableFailure, Committed> {
                    DirectoryCompactor(tables, objects).snapshot(Changes.state(put(1)))
                    return tables.transact(transaction)
                }
            }
            assertEquals(2L.right(), DirectoryLog(racing).append(put(2)))
            assertEquals(DirectoryHead(2, 1).right(), log.head())
        }
    }

    @Nested
    inner class Compaction {
        private val compactor = DirectoryCompactor(tables, objects, retainedChanges = 10)

        private fun catchUp(from: DirectoryState): DirectoryState {
            val page = reader.poll(from.version).getOrNull() ?: return from
            return (page.snapshot ?: from).applyAll(page.changes)
        }

        private fun fill(count: Int): DirectoryState {
            (1L..count).forEach { log.append(put(it, Workspace("w$it"))) }
            return catchUp(DirectoryState())
        }

        @Test
        fun `Given a trimmed log, then a new and a lagging replica reach the same state as one that read all`() {
            val lagging = fill(40)
            val full = fill(100)
            compactor.snapshot(full)
            assertEquals(90, compactor.trim().getOrNull())
            (101L..105).forEach { log.append(put(it, Workspace("w$it"))) }
            val current = catchUp(full)
            assertEquals(105, current.version)
            assertEquals(current, catchUp(lagging))
            assertEquals(current, catchUp(DirectoryState()))
            assertEquals((96L..105).toList(), log.history(10).getOrNull()?.map { it.version })
        }

        @Test
        fun `Given no snapshot, then nothing is trimmed, and an older snapshot never replaces a newer one`() {
            val full = fill(30)
            assertEquals(0, compactor.trim().getOrNull())
            compactor.snapshot(full)
            compactor.snapshot(Changes.state(put(1)))
            assertEquals(DirectoryHead(30, 30).right(), log.head())
        }
    }
}

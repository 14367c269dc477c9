package org.medlarhook.core.usage

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class CommittedUsageTest {
    private val settings = UsageSettings(windowMs = 100, freezeAfterMs = 10, sourceRetentionMs = 1_000)
    private val source = ReceiptSource("u1", 1)
    private val empty = CommittedUsage(UsageHeadRow(openWindowStartMs = 1_000))

    private fun receipt(sequence: Long, finishedAtMs: Long, source: ReceiptSource = this.source) =
        UsageReceipt(
            source,
            sequence,
            "w",
            "verdict-lm",
            promptTokens = 10,
            outputTokens = 1,
            finishedAtMs = finishedAtMs,
        )

    private fun CommittedUsage.with(vararg receipts: UsageReceipt, wallMs: Long = 1_050): CommittedUsage =
        plus(batchOf(receipts.toList(), wallMs, settings), head)

    @Nested
    inner class Collect {
        @Test
        fun `Given a receipt twice in a page and again later, then it counts once`() {
            val usage = empty.with(receipt(1, 1_010), receipt(1, 1_010), receipt(2, 1_020)).with(receipt(2, 1_020))
            assertEquals(UsageAmount(promptTokens = 20, outputTokens = 2), usage.amounts.values.single())
            assertEquals(SequenceSet(2), usage.committed(source))
        }

        @Test
        fun `Given a gap, then the watermark stays below it and later receipts are committed`() {
            val usage = empty.with(receipt(1, 1_010), receipt(3, 1_010))
            assertEquals(SequenceSet(1, setOf(3)), usage.committed(source))
            assertEquals(SequenceSet(3), usage.with(receipt(2, 1_010)).committed(source))
        }

        @Test
        fun `Given usage of a frozen window, then the open window reports it as a correction`() {
            val line = empty.with(receipt(1, 950)).report("s", settings).lines.single()
            assertEquals(900, line.correctionOfWindowStartMs)
        }

        @Test
        fun `Given a clock that is ahead, then usage counts no later than in the collector's current window`() {
            assertEquals(1_000, empty.with(receipt(1, 5_000)).amounts.keys.single().windowStartMs)
        }
    }

    @Nested
    inner class Compact {
        @Test
        fun `Given a sidecar replaced long ago, then its receipts are ignored from then on`() {
            val usage = empty.with(receipt(1, 1_010)).with(receipt(1, 1_010, ReceiptSource("u1", 2)), wallMs = 2_500)
            val compacted = CommittedUsage(empty.head).plus(usage.compacted(wallMs = 2_500, settings), empty.head)
            assertEquals(setOf(ReceiptSource("u1", 2)), compacted.progress.keys)
            assertEquals(usage.amounts, compacted.with(receipt(1, 1_010), receipt(2, 1_010)).amounts)
        }
    }

    @Nested
    inner class Copies {
        @Test
        fun `Given a committed page with a gap below it, then its copies are dropped and the others stay`() {
            val buffer = EntryReceiptBuffer(capacity = 3)
            listOf(1L, 3L, 5L).forEach { buffer.keep(receipt(it, 0)) }
            assertEquals(false, buffer.hasRoom(inFlight = 0) || buffer.keep(receipt(7, 0)))
            buffer.drop(listOf(receipt(3, 0)))
            buffer.dropUpTo(source, 1)
            assertEquals(listOf(5L), buffer.page(source, 9).map { it.sequence })
        }

        @Test
        fun `Given a watermark of another incarnation, then the ledger keeps its receipts`() {
            val ledger = ReceiptLedger(source, capacity = 2)
            repeat(2) { ledger.append(receipt(0, 0)) }
            ledger.dropUpTo(incarnation = 2, sequence = 2)
            assertEquals(listOf(1L, 2L), ledger.page(0, 9).map { it.sequence })
            ledger.dropUpTo(incarnation = 1, sequence = 1)
            assertEquals(listOf(2L), ledger.page(0, 9).map { it.sequence })
        }
    }
}

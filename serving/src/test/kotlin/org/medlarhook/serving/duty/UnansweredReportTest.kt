package org.medlarhook.serving.duty

import arrow.core.left
import arrow.core.right
import org.medlarhook.core.lease.LeaseRow
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.row.RowJson
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against a report that arrives after one of the successor, with a lower fencing token. */
class UnansweredReportTest {
    private val lone = LoneReporter()

    private fun isReleased(): Boolean {
        val row = assertNotNull(lone.tables.read(LeaseScope("usage").leaseKey).getOrNull())
        return RowJson.decode<LeaseRow>(row.value).released
    }

    private fun runUntilDelivery() {
        repeat(60) { if (lone.deliveries == 0) lone.run(steps = 1) }
        assertTrue(lone.deliveries > 0, "no report was delivered")
    }

    @Test
    fun `Given a report without an answer, when the process stops, then it does not hand over the lease at once`() {
        lone.outcome = "timeout".left()
        runUntilDelivery()
        lone.reporter.releaseLease()

        assertFalse(isReleased())
    }

    @Test
    fun `Given reports that were all answered, when the process stops, then it hands over the lease at once`() {
        lone.outcome = Unit.right()
        runUntilDelivery()
        lone.reporter.releaseLease()

        assertTrue(isReleased())
    }
}

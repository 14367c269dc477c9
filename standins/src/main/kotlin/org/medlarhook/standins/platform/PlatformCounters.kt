package org.medlarhook.standins.platform

import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.LongAdder

/** Counts what the platform was asked for, since its start. */
internal class PlatformCounters {
    private val reads = LongAdder()
    private val writes = LongAdder()
    private val objectCalls = LongAdder()
    private val refused = LongAdder()

    fun countRead() = reads.increment()

    fun countWrites(rows: Int) = writes.add(rows.toLong())

    fun countObjectCall() = objectCalls.increment()

    fun countRefused() = refused.increment()

    fun snapshot() = PlatformStats(reads.sum(), writes.sum(), objectCalls.sum(), refused.sum())
}

/**
 * Totals since the start.
 *
 * @property reads reads and scans; a scan counts as one read for each page.
 * @property writes rows written, put or deleted.
 * @property refused calls refused because they came faster than the limits.
 */
@Serializable
internal data class PlatformStats(
    val reads: Long,
    val writes: Long,
    val objectCalls: Long,
    val refused: Long,
)

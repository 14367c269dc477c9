package org.medlarhook.standins.platform

import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.LongAdder

/** Counts the calls to the platform stand-in since its start. */
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
 * Totals since the start of the platform stand-in.
 *
 * @property reads reads and scans, including refused ones; each page of a scan counts as one read.
 * @property writes rows put or deleted by transactions, including refused ones.
 * @property refused calls refused because of the rate limits.
 */
@Serializable
internal data class PlatformStats(
    val reads: Long,
    val writes: Long,
    val objectCalls: Long,
    val refused: Long,
)

package org.medlarhook.serving.duty

import arrow.core.getOrElse
import org.medlarhook.core.serving.usage.StoreClockSample
import org.medlarhook.ports.Condition
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.serving.process.StoreEra

/**
 * The clock by which all processes number the usage windows: the store's clock plus an offset that the first process
 * has written.
 */
internal class SharedClock(
    private val tables: TableService,
    private val clock: StoreClock,
    private val time: TimeSource,
    private val era: StoreEra,
) {
    private var absentSinceMs: Long? = null

    /**
     * Returns the shared clock minus the monotonic clock at [nowMs], or null if that is not known yet.
     *
     * In a later era of the store, an absent row was lost in a drill; the processes that know it write it again, so that
     * others wait for [AWAITED_MS] before they write their own.
     */
    fun agree(nowMs: Long): Long? {
        val sample = sample() ?: return null
        val row = tables.read(KEY).getOrElse { return null }
        if (row == null && !mayWriteFirst(nowMs)) return null
        val ownOffsetMs = time.wallMs() - time.monotonicMs() - sample.storeMinusMonotonicMs
        if (row == null) {
            tables.transact(Transaction(listOf(Condition(KEY, Condition.ABSENT)), listOf(Write(KEY, "$ownOffsetMs"))))
        }
        val agreed = row ?: tables.read(KEY).getOrNull()
        return agreed?.value?.toLongOrNull()?.plus(sample.storeMinusMonotonicMs)
    }

    private fun mayWriteFirst(nowMs: Long): Boolean {
        val sinceMs = absentSinceMs ?: nowMs.also { absentSinceMs = it }
        return era.current == 0L || nowMs - sinceMs >= AWAITED_MS
    }

    /**
     * Writes the offset again if a drill of the store has lost it or set the store's clock back.
     *
     * @param offsetMs the shared clock minus the monotonic clock, as this process knows it.
     * @return the same as the rows give it if that is more, else [offsetMs]; null if the store does not answer, or does
     * not confirm the write.
     */
    fun restore(offsetMs: Long): Long? {
        val sample = sample() ?: return null
        val row = tables.read(KEY).getOrElse { return null }
        val agreedMs = row?.value?.toLongOrNull()?.plus(sample.storeMinusMonotonicMs)
        if (agreedMs != null && agreedMs > offsetMs - GREATEST_DIFFERENCE_MS) return maxOf(agreedMs, offsetMs)
        val write = Write(KEY, "${offsetMs - sample.storeMinusMonotonicMs}")
        val transaction = Transaction(listOf(Condition(KEY, row?.version ?: Condition.ABSENT)), listOf(write))
        return tables.transact(transaction).fold({ null }, { offsetMs })
    }

    /** Returns null also if the process was suspended during the call, which would make the sample wrong by as much. */
    private fun sample(): StoreClockSample? {
        val sentAtMs = time.monotonicMs()
        val storeMs = clock.readMs() ?: return null
        return StoreClockSample(storeMs, sentAtMs, time.monotonicMs()).takeIf { it.tookMs <= GREATEST_DIFFERENCE_MS }
    }

    companion object {
        private val KEY = RowKey("clock", "offset")

        /** Processes that know what a drill has lost write it again within a second; the rest covers slow calls. */
        const val AWAITED_MS = 2_000L

        /** Clocks of two processes differ by less, if neither call to the store took longer. */
        private const val GREATEST_DIFFERENCE_MS = 1_000L
    }
}

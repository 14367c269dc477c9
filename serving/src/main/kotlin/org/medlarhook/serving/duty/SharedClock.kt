package org.medlarhook.serving.duty

import org.medlarhook.core.serving.usage.StoreClockSample
import org.medlarhook.ports.Condition
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write

/**
 * The clock by which all processes number the usage windows: the store's clock plus an offset that the first process
 * has written.
 */
internal class SharedClock(
    private val tables: TableService,
    private val clock: StoreClock,
    private val time: TimeSource,
) {
    /** Returns the shared clock minus the monotonic clock, or null if the store does not answer. */
    fun agree(): Long? {
        val sample = sample() ?: return null
        val ownOffsetMs = time.wallMs() - time.monotonicMs() - sample.storeMinusMonotonicMs
        tables.transact(Transaction(listOf(Condition(KEY, Condition.ABSENT)), listOf(Write(KEY, "$ownOffsetMs"))))
        val agreedMs = tables.read(KEY).getOrNull()?.value?.toLongOrNull() ?: return null
        return agreedMs + sample.storeMinusMonotonicMs
    }

    private fun sample(): StoreClockSample? {
        val sentAtMs = time.monotonicMs()
        val storeMs = clock.readMs() ?: return null
        return StoreClockSample(storeMs, sentAtMs, time.monotonicMs())
    }

    private companion object {
        val KEY = RowKey("clock", "offset")
    }
}

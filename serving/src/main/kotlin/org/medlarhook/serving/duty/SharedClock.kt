package org.medlarhook.serving.duty

import arrow.core.Either
import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.row.RowJson
import org.medlarhook.core.serving.usage.SharedClockChoice
import org.medlarhook.core.serving.usage.SharedClockRow
import org.medlarhook.core.serving.usage.SharedClockState
import org.medlarhook.core.serving.usage.StoreClockSample
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.process.StoreEra

private val logger = KotlinLogging.logger {}

/**
 * The clock by which all processes number the usage windows: the store's clock plus an offset on which they agree in a
 * row of each era of the store.
 *
 * Answers that this process gets anyway show whether its own clock still runs with the store's; only if they don't, or
 * after a rise of the era, the row is read again.
 */
internal class SharedClock(
    private val tables: TableService,
    private val clock: StoreClock,
    private val time: TimeSource,
    private val era: StoreEra,
) {
    private var state = SharedClockState()
    private var noticedEra: Long? = null
    private var noticedAtMs = 0L
    private var isOutdated = false

    /** The shared clock minus the monotonic clock, or null before the first agreement. */
    val offsetMs: Long? get() = state.offsetMs

    /** True while nothing tells that the clock of this process has stood still since the last agreement. */
    val isSure: Boolean get() = state.isSure

    /** When the agreed era began, on the shared clock; null in the first era. */
    val beganAtMs: Long? get() = state.beganAtMs

    /** Holds in the agreed era of the store as long as no process has raised the shared clock. */
    var condition: Condition? = null
        private set

    /** True if the processes agree in [tableEra], and this process knows no reason to read the row again. */
    fun isAgreedIn(tableEra: Long): Boolean = state.isSure && !isOutdated && state.agreedEra == tableEra

    /** Records that [current] is the era of the store at [nowMs], so that it began before that. */
    fun notice(current: Long, nowMs: Long) {
        if (current == noticedEra) return
        noticedEra = current
        noticedAtMs = nowMs
    }

    /** Compares the clocks, as far as that takes no call. */
    fun observe() {
        state = state.observed(time.monotonicMs(), time.wallMs())
        clock.latest()?.let { state = state.observed(it) }
    }

    /** Has the row read again, since another process may have raised the shared clock. */
    fun outdate() {
        isOutdated = true
    }

    /** Reads the row of the current era, and writes it if this process has to; false if that must be tried again. */
    fun agree(): Boolean {
        observe()
        val begunAtMs = time.monotonicMs()
        val rows = tables.scan(TABLE).getOrElse { return false }
        val sample = sampleSince(begunAtMs) ?: return false
        notice(sample.era, sample.answeredAtMs)
        val row = rows.find { it.key == keyOf(sample.era) }
        val agreed = agreed(row, latestBefore(sample.era, rows), sample) ?: return false
        return isUndisturbed(sample).also { if (it) follow(agreed.first, agreed.second, sample) }
    }

    /** True unless the process was suspended or the era has risen since the clocks were observed. */
    private fun isUndisturbed(sample: StoreClockSample): Boolean =
        era.current == sample.era && !state.hasJumped(time.wallMs() - time.monotonicMs())

    private fun follow(row: SharedClockRow, version: Long, sample: StoreClockSample) {
        condition = Condition(keyOf(sample.era), version)
        state = state.agreed(row, sample)
        isOutdated = false
    }

    /** Returns the row that the processes agree on, with its version, or null if that is not known yet. */
    private fun agreed(row: Row?, before: SharedClockRow?, sample: StoreClockSample): Pair<SharedClockRow, Long>? {
        val current = row?.let { decode(it) }
        val wallGapMs = time.wallMs() - time.monotonicMs()
        return when (val choice = SharedClockChoice.of(state, current, before, sample, noticedAtMs, wallGapMs)) {
            is SharedClockChoice.Await -> null
            is SharedClockChoice.Follow -> current!! to row!!.version
            is SharedClockChoice.Write -> write(choice.row, keyOf(sample.era), row?.version ?: Condition.ABSENT)
        }
    }

    private fun write(content: SharedClockRow, key: RowKey, expectedVersion: Long): Pair<SharedClockRow, Long>? {
        val transaction =
            Transaction(listOf(Condition(key, expectedVersion)), listOf(Write(key, RowJson.encode(content))))
        return tables.transact(transaction).getOrNull()?.let { content to it.version }
    }

    /** Returns null also if the process was suspended during the call, which would make the sample wrong by as much. */
    private fun sampleSince(begunAtMs: Long): StoreClockSample? {
        val sample = clock.latest()?.takeIf { it.sentAtMs >= begunAtMs } ?: read()
        return sample?.takeIf { it.tookMs <= SharedClockChoice.GREATEST_DIFFERENCE_MS && isUndisturbed(it) }
    }

    private fun read(): StoreClockSample? {
        val sentAtMs = time.monotonicMs()
        val storeMs = clock.readMs() ?: return null
        return StoreClockSample(storeMs, sentAtMs, time.monotonicMs(), era.current ?: 0)
    }

    private fun latestBefore(current: Long, rows: List<Row>): SharedClockRow? =
        rows
            .mapNotNull { row -> eraOf(row)?.takeIf { it < current }?.let { era -> decode(row)?.let { era to it } } }
            .maxByOrNull { it.first }
            ?.second

    /** Returns null for a row that can't be read, which counts as absent; a plain number is an offset alone. */
    private fun decode(row: Row): SharedClockRow? =
        row.value.toLongOrNull()?.let { SharedClockRow(it) }
            ?: Either
                .catch { RowJson.decode<SharedClockRow>(row.value) }
                .onLeft {
                    logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "shared clock", "row" to row.key.key)
                }.getOrNull()

    private fun eraOf(row: Row): Long? = row.key.key.substringAfter('@', "0").toLongOrNull()

    private fun keyOf(tableEra: Long): RowKey = RowKey(TABLE, if (tableEra == 0L) ROW else "$ROW@$tableEra")

    private companion object {
        const val TABLE = "clock"
        const val ROW = "offset"
    }
}

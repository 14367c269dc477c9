package org.medlarhook.serving.duty

import arrow.core.Either
import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.Serializable
import org.medlarhook.core.lease.LeaseCandidates
import org.medlarhook.core.lease.LeaseManager
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.core.row.RowJson
import org.medlarhook.core.serving.usage.ProcessCount
import org.medlarhook.core.serving.usage.UsageWindows
import org.medlarhook.core.serving.usage.WindowCounts
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.call.ServingLoop
import org.medlarhook.serving.process.ServingBounds
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

private val logger = KotlinLogging.logger {}

/**
 * Publishes this process's usage, and reports the windows of all processes while it holds the duty.
 *
 * Every process writes what it has counted to its own row of each window. The holder adds the rows up once all have
 * closed the window, writes the sum to a row that is written once, and delivers that row. A successor delivers the
 * same row again rather than a new sum. A step, the hand-back and the last publication exclude each other by a lock,
 * inside which the lease takes its own.
 */
internal class UsageReporter(
    private val process: String,
    private val serving: ServingLoop,
    private val tables: TableService,
    private val clock: StoreClock,
    private val reporting: WindowReporting,
    private val bounds: ServingBounds,
    private val time: TimeSource,
) {
    private val scope = LeaseScope("usage")
    private val lease = LeaseManager(scope, process, leaseSettings(bounds), tables, time)
    private val delivered = HashSet<Long>()
    private val known = HashMap<Long, WindowCounts>()
    private val lookBack = maxOf(MIN_LOOK_BACK, bounds.usageLateMs / bounds.usageWindowMs)
    private val published = HashMap<Long, ProcessCount>()
    private var firstWindow: Long? = null
    private val stepLock = ReentrantLock()
    private var isHolding = false
    private var publishAtMs = 0L
    private var watchAtMs = 0L
    private var reportAtMs = 0L
    private var peers = emptySet<String>()
    private var peersReadIn: Long? = null

    @Volatile
    private var isStopped = false

    /** Runs the duty on a thread of its own. */
    fun start() {
        thread(name = "usage", isDaemon = true) {
            while (!isStopped) {
                val begunAtMs = time.monotonicMs()
                stepLock.withLock { if (!isStopped) guardedStep() }
                Thread.sleep((PERIOD_MS - (time.monotonicMs() - begunAtMs)).coerceAtLeast(MIN_PAUSE_MS))
            }
        }
    }

    /** Hands the duty back; what is still served is counted and published on. */
    fun handBack() {
        stepLock.withLock { lease.release() }
    }

    /** Publishes the last counts, and that there will be no more; gives up at [endAtMs] if a slow step is under way. */
    fun finish(endAtMs: Long) {
        isStopped = true
        val waitMs = (endAtMs - time.monotonicMs()).coerceAtLeast(MIN_PAUSE_MS)
        if (!stepLock.tryLock(waitMs, TimeUnit.MILLISECONDS)) {
            return logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "last counts", "cause" to "slow store")
        }
        try {
            onLoop { serving.usage }?.let { publish(it, time.monotonicMs(), isClosing = true) }
        } finally {
            stepLock.unlock()
        }
    }

    /** An error in one step must not end the duty for good. */
    private fun guardedStep() {
        runCatching { step() }.onFailure {
            logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "usage step", "cause" to it.toString())
        }
    }

    private fun step() {
        val usage = onLoop { serving.usage } ?: return
        if (usage.offsetMs == null) return setClock()
        val nowMs = time.monotonicMs()
        if (nowMs >= publishAtMs) {
            publish(usage, nowMs, isClosing = false)
            publishAtMs = nowMs + PUBLISH_EVERY_MS
        }
        runLease(nowMs)
        noteHolding()
        val current = usage.windowAt(usage.sharedClockMs(nowMs)!!)
        val first = firstWindow ?: (current - lookBack).also { firstWindow = it }
        readPeers(current)
        if (isHolding && nowMs >= reportAtMs) {
            reportAtMs = nowMs + REPORT_EVERY_MS
            (maxOf(first, current - lookBack)..current - 1).forEach { report(it, usage, nowMs) }
        }
    }

    /** Agrees on the offset of true time from the store's clock: the first process to write it decides. */
    private fun setClock() {
        val begunAtMs = time.monotonicMs()
        val storeMs = clock.readMs() ?: return
        val ownOffsetMs = time.wallMs() - storeMs
        val write =
            Transaction(listOf(Condition(CLOCK_KEY, Condition.ABSENT)), listOf(Write(CLOCK_KEY, "$ownOffsetMs")))
        tables.transact(write)
        val agreedMs = tables.read(CLOCK_KEY).getOrNull()?.value?.toLongOrNull() ?: return
        val steadyAtReadMs = (begunAtMs + time.monotonicMs()) / 2
        onLoop { serving.updateUsage { it.withOffset(agreedMs + storeMs - steadyAtReadMs) } }
    }

    private fun publish(usage: UsageWindows, nowMs: Long, isClosing: Boolean) {
        val current = usage.windowAt(usage.sharedClockMs(nowMs) ?: return)
        val windows = (usage.counts.keys + current + (current - 1)).filter { it <= current }
        val writes =
            windows.mapNotNull { window ->
                val next = ProcessCount(
                    counts = usage.counts[window].orEmpty(),
                    isClosed = isClosing || window < current,
                    isLast = isClosing && window == current,
                )
                if (published[window] == next) null else window to next
            }
        if (writes.isEmpty()) return
        val rows = writes.map { (window, row) -> Write(rowKey(window), RowJson.encode(row)) }
        tables.transact(Transaction(emptyList(), rows)).onRight {
            published += writes
            forgetOld(current)
        }
    }

    private fun forgetOld(current: Long) {
        val oldest = current - lookBack - KEEP_WINDOWS
        published.keys.removeIf { it < oldest }
        delivered.removeIf { it < oldest }
        known.keys.removeIf { it < oldest }
        onLoop { serving.updateUsage { it.forgetBefore(oldest) } }
    }

    private fun readPeers(current: Long) {
        if (current == peersReadIn) return
        peersReadIn = current
        countsOf(current - 1).onRight { counts ->
            peers = counts.continuing
            if (peers.isNotEmpty()) onLoop { serving.setProcessCount(peers.size) }
        }
    }

    /** A few processes watch the lease closely; the others, which take over if all of these are lost, seldom. */
    private fun runLease(nowMs: Long) {
        val isClose = lease.holdsOrAcquires() || LeaseCandidates.isCandidate(scope, process, peers, CANDIDATES)
        if (!isClose && nowMs < watchAtMs) return
        watchAtMs = nowMs + bounds.leaseMs
        lease.run()
    }

    private fun noteHolding() {
        val holds = lease.authority()?.mayAct(time.monotonicMs()) == true
        if (holds != isHolding) {
            logger.event(
                if (holds) LogEvent.LEASE_TAKEN else LogEvent.LEASE_LOST,
                "scope" to scope.name,
                "epoch" to lease.authority()?.epoch,
            )
        }
        isHolding = holds
    }

    private fun report(window: Long, usage: UsageWindows, nowMs: Long) {
        if (window in delivered) return
        val endedMs = usage.sharedClockMs(nowMs)!! - (window + 1) * bounds.usageWindowMs
        if (endedMs < SETTLE_MS) return
        val counts = countsOf(window).getOrElse { return }
        val before = (window - WINDOWS_BEFORE..<window).mapNotNull { known[it] ?: countsOf(it).getOrNull() }
        known[window] = counts
        val isWhole = counts.isWhole(before)
        if (!isWhole && endedMs < bounds.usageLateMs - LAST_MOMENT_MS) return
        val frozen = freeze(window, counts.sum()) ?: return
        val authority = lease.authority()?.takeIf { it.mayAct(time.monotonicMs()) } ?: return
        reporting.deliver(window, frozen.counts, process.substringBefore('#'), authority.epoch).fold(
            { logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "usage", "window" to window, "cause" to it) },
            {
                delivered += window
                logger.event(
                    LogEvent.WINDOW_SENT,
                    "window" to window,
                    "counts" to frozen.counts,
                    "endedMs" to endedMs,
                    "processes" to counts.byProcess.size,
                    "isWhole" to isWhole,
                )
            },
        )
    }

    /** Writes the sum of [window] once; proves in the same step that the duty is still held. */
    private fun freeze(window: Long, counts: Map<String, Long>): FrozenWindow? {
        val authority = lease.authority() ?: return null
        val key = RowKey(FROZEN_TABLE, windowKey(window))
        val known = tables.read(key).getOrElse { return null }
        val frozen = known?.let { RowJson.decode<FrozenWindow>(it.value) } ?: FrozenWindow(counts)
        val version = known?.version ?: Condition.ABSENT
        val write =
            Transaction(
                listOf(authority.condition(), Condition(key, version)),
                listOf(Write(key, RowJson.encode(frozen))),
            )
        return tables.transact(write).fold({ null }, { frozen })
    }

    private fun countsOf(window: Long): Either<TableFailure, WindowCounts> =
        tables.scan(COUNT_TABLE, prefix = "${windowKey(window)}/").map { rows ->
            WindowCounts(rows.mapNotNull { row -> countOf(row)?.let { processOf(row) to it } }.toMap())
        }

    private fun processOf(row: Row): String = row.key.key.substringAfter('/')

    private fun countOf(row: Row): ProcessCount? =
        runCatching { RowJson.decode<ProcessCount>(row.value) }
            .onFailure { logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "count", "row" to row.key.key) }
            .getOrNull()

    private fun rowKey(window: Long): RowKey = RowKey(COUNT_TABLE, "${windowKey(window)}/$process")

    private fun windowKey(window: Long): String = window.toString().padStart(WINDOW_DIGITS, '0')

    private fun <T : Any> onLoop(task: () -> T): T? =
        runCatching { serving.loop.submit(task).get(LOOP_TIMEOUT_MS, TimeUnit.MILLISECONDS) }
            .onFailure { logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "loop", "cause" to it.toString()) }
            .getOrNull()

    @Serializable
    private data class FrozenWindow(
        val counts: Map<String, Long>,
    )

    private companion object {
        const val COUNT_TABLE = "usage-count"
        const val FROZEN_TABLE = "usage-window"
        val CLOCK_KEY = RowKey("clock", "offset")
        const val WINDOW_DIGITS = 12

        /** Between two looks at what is due; a lease that has lapsed is taken over at most this much later. */
        const val PERIOD_MS = 500L

        /** A kill loses at most this much of a process's count. */
        const val PUBLISH_EVERY_MS = 2_000L

        /** Between two reads of the windows that are due: a tenth of the time that a report may be late. */
        const val REPORT_EVERY_MS = 1_000L

        /** Processes that watch the lease closely: one more than the loss of one VM needs. */
        const val CANDIDATES = 2
        const val MIN_PAUSE_MS = 100L

        /** Windows before the present one that may still be due, however long a window is. */
        const val MIN_LOOK_BACK = 3L

        /** Windows before one whose processes are waited for: a cut of two windows is noticed. */
        const val WINDOWS_BEFORE = 2L

        /** Windows that are kept behind those that may still be due. */
        const val KEEP_WINDOWS = 5L

        /** Rows of a window are closed within one period of its end; the rest covers a slow store. */
        const val SETTLE_MS = 2_300L

        /** Before a window is late, it goes out with the rows that there are; a successor needs about as long. */
        const val LAST_MOMENT_MS = 4_000L
        const val LOOP_TIMEOUT_MS = 2_000L

        /** The slowest call of the duty: a delivery's timeout. */
        const val LONGEST_CALL_MS = 800L

        /**
         * Half of the platform's bound, so that the successor of a lost holder reports what that one had not before it
         * is late; two holders that are lost one after the other still take longer than the bound.
         */
        fun leaseSettings(bounds: ServingBounds): LeaseSettings =
            LeaseSettings(
                durationMs = bounds.leaseMs / 2,
                marginMs = bounds.leaseMs / 20,
                longestOutboundCallMs = LONGEST_CALL_MS,
                renewEveryMs = bounds.leaseMs / 6,
                watchEveryMs = bounds.leaseMs / 3,
                retryMs = 200,
            )
    }
}

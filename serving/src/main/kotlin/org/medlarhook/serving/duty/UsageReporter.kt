package org.medlarhook.serving.duty

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.lease.Jitter
import org.medlarhook.core.lease.LeaseCandidates
import org.medlarhook.core.lease.LeaseManager
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.core.serving.limit.ProcessShare
import org.medlarhook.core.serving.usage.ProcessCount
import org.medlarhook.core.serving.usage.UsageWindows
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.process.ServingBounds
import org.medlarhook.serving.process.StoreEra
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

private val logger = KotlinLogging.logger {}

/**
 * Publishes this process's usage counts, and reports the windows of all processes while it holds the usage lease.
 *
 * Every process writes its counts to its own row of each window. Once all processes have closed the window, the lease
 * holder sums up the rows, writes the sum to a row that is written only once, and delivers that row. A later holder
 * delivers the same row again rather than a new sum. A lock excludes a step, the release of the lease and the last
 * publication from each other; the lease acquires its own lock inside it.
 */
internal class UsageReporter(
    private val process: String,
    private val requests: RequestUsage,
    tables: TableService,
    clock: StoreClock,
    reporting: WindowReporting,
    private val bounds: ServingBounds,
    private val time: TimeSource,
    private val era: StoreEra,
) {
    private val scope = LeaseScope("usage")
    private val lease = LeaseManager(scope, process, leaseSettings(bounds), tables, time, { era.current ?: 0 })
    private val sharedClock = SharedClock(tables, clock, time, era)
    private val frozenWindows = FrozenWindows(tables, era)
    private val drill = DrillRecovery(process, era, sharedClock, frozenWindows)
    private val counts = UsageCounts(process, tables)
    private val reports =
        WindowReports(process.substringBefore('#'), lease, counts, frozenWindows, sharedClock, reporting, bounds, time)
    private val jitter = Jitter(FULL_SPREAD_PERCENT, process)
    private val lookBackWindows = maxOf(MIN_LOOK_BACK_WINDOWS, bounds.usageLateMs / bounds.usageWindowMs)
    private val published = HashMap<Long, ProcessCount>()
    private var firstWindow: Long? = null
    private val stepLock = ReentrantLock()
    private var isHolding = false
    private var nextPublishAtMs = 0L
    private var nextWatchAtMs = 0L
    private var nextReportAtMs = 0L
    private var processes = emptySet<String>()
    private var processesReadInWindow: Long? = null
    private var nextProcessesReadAtMs = 0L
    private var firstPublishedWindow: Long? = null
    private var processesEra: Long? = null

    @Volatile
    private var isStopped = false

    /** Starts the thread that runs a step every [PERIOD_MS]. */
    fun start() {
        thread(name = "usage", isDaemon = true) {
            while (!isStopped) {
                val begunAtMs = time.monotonicMs()
                step()
                Thread.sleep(pauseMs(begunAtMs))
            }
        }
    }

    /** Runs one step, unless the last counts are published. An error in it is logged and does not end the caller. */
    fun step() {
        stepLock.withLock { if (!isStopped) stepCatching() }
    }

    /** Returns the time until the next step after one that began at [begunAtMs]. */
    fun pauseMs(begunAtMs: Long): Long = (PERIOD_MS - (time.monotonicMs() - begunAtMs)).coerceAtLeast(MIN_PAUSE_MS)

    /**
     * Releases the lease; requests that are still served are counted and published as before. If a report may still
     * arrive, the lease runs out instead, so that no successor reports before it.
     */
    fun releaseLease() {
        stepLock.withLock {
            val takeOverAfterMs = leaseSettings(bounds).takeOverAfterMs
            if (!reports.mayArriveLate(time.monotonicMs(), takeOverAfterMs)) lease.release()
        }
    }

    /** Publishes the last counts and marks them as last; gives up at [endAtMs] if a slow step still runs. */
    fun finish(endAtMs: Long) {
        isStopped = true
        val waitMs = (endAtMs - time.monotonicMs()).coerceAtLeast(MIN_PAUSE_MS)
        if (!stepLock.tryLock(waitMs, TimeUnit.MILLISECONDS)) {
            return logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "last counts", "cause" to "step too slow")
        }
        try {
            requests.read()?.let { publish(it, time.monotonicMs(), isClosing = true) }
        } finally {
            stepLock.unlock()
        }
    }

    private fun stepCatching() {
        runCatching { performStep() }.onFailure {
            logger.warnEvent(LogEvent.PLATFORM_CALL_FAILED, "call" to "usage step", "cause" to it.toString())
        }
    }

    private fun performStep() {
        val currentEra = era.current
        val nowMs = time.monotonicMs()
        if (currentEra != null) noticeEra(currentEra, nowMs)
        val usage = agreedUsage(currentEra, nowMs) ?: return
        if (nowMs >= nextPublishAtMs) {
            publish(usage, nowMs, isClosing = false)
            nextPublishAtMs = nowMs + PUBLISH_EVERY_MS
        }
        runLease(nowMs)
        updateHolding()
        val current = usage.windowAt(usage.sharedClockMs(nowMs)!!)
        val first = firstWindow ?: (current - lookBackWindows).also { firstWindow = it }
        readProcesses(current, usage, nowMs)
        if (isHolding && nowMs >= nextReportAtMs) {
            nextReportAtMs = nowMs + REPORT_EVERY_MS
            val eraStart = drill.start ?: return
            val sharedMs = usage.sharedClockMs(nowMs)!!
            for (window in maxOf(first, current - lookBackWindows)..<current) {
                reports.report(window, eraStart, sharedMs)
            }
        }
    }

    /** Returns the counts once their windows are sure, which takes an agreement on the shared clock. */
    private fun agreedUsage(currentEra: Long?, nowMs: Long): UsageWindows? {
        sharedClock.observe()
        if (sharedClock.offsetMs != null && !sharedClock.isSure) {
            lease.distrust()
            requests.update { it.doubted() }
        }
        if (currentEra == null) sharedClock.agree() else drill.recover(nowMs)
        val offsetMs = sharedClock.offsetMs?.takeIf { sharedClock.isSure } ?: return null
        val usage = requests.read() ?: return null
        if (usage.offsetMs == offsetMs && !usage.isInDoubt) return usage
        if (usage.offsetMs != null && offsetMs - usage.offsetMs!! > LONGEST_PAUSE_MS) requests.onSuspended()
        requests.update { it.withOffset(offsetMs) }
        return requests.read()?.takeIf { it.offsetMs == offsetMs }
    }

    /** After a drill of the store, publishes all counts again that may be lost, in addition to what is due. */
    private fun noticeEra(currentEra: Long, nowMs: Long) {
        if (!drill.notice(currentEra, nowMs)) return
        published.clear()
        nextPublishAtMs = minOf(nextPublishAtMs, nowMs + jitter.spread(PUBLISH_AGAIN_MS / 2, nowMs))
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
                    peer = requests.peerAddress(),
                )
                if (published[window] == next) null else window to next
            }
        if (writes.isEmpty()) return
        counts.publish(writes).onRight {
            published += writes
            if (firstPublishedWindow == null) firstPublishedWindow = current
            dropOldWindows(current)
        }
    }

    private fun dropOldWindows(current: Long) {
        val oldest = current - lookBackWindows - KEPT_WINDOWS
        published.keys.removeIf { it < oldest }
        reports.forgetBefore(oldest)
        requests.update { it.forgetBefore(oldest) }
    }

    /** Reads the processes that have published the window before [current]; all of them read it at about this time. */
    private fun readProcesses(current: Long, usage: UsageWindows, nowMs: Long) {
        if (current == processesReadInWindow || nowMs < nextProcessesReadAtMs) return
        val previousEra = processesEra
        processesEra = era.current
        if (previousEra != null && previousEra != processesEra) {
            nextProcessesReadAtMs = nowMs + bounds.usageWindowMs * WINDOWS_AFTER_DRILL
            return
        }
        nextProcessesReadAtMs = nowMs + PUBLISH_EVERY_MS
        counts.of(current - 1).onRight { counts ->
            if (era.current != processesEra) return
            processesReadInWindow = current
            nextProcessesReadAtMs = nowMs
            processes = counts.continuing
            requests.onProcessesRead(counts, shareIn(current, usage, nowMs))
        }
    }

    private fun shareIn(current: Long, usage: UsageWindows, readAtMs: Long): ProcessShare? =
        usage.offsetMs?.let { offsetMs ->
            ProcessShare.of(
                process = process,
                list = processes,
                firstWindow = firstPublishedWindow,
                window = current,
                clockOffsetMs = offsetMs,
                readAtMs = readAtMs,
                windowMs = bounds.usageWindowMs,
            )
        }

    /**
     * Runs the lease in each step if this process holds it or is a candidate. Other processes run it once per
     * [ServingBounds.leaseMs], so that they take over if all candidates are lost.
     */
    private fun runLease(nowMs: Long) {
        val watchesOften = lease.holdsOrAcquires() || LeaseCandidates.isCandidate(scope, process, processes, CANDIDATES)
        if (!watchesOften && nowMs < nextWatchAtMs) return
        nextWatchAtMs = nowMs + bounds.leaseMs
        lease.run()
    }

    private fun updateHolding() {
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

    private companion object {
        /** Time between two steps; delays the take-over of an expired lease by at most this much. */
        const val PERIOD_MS = 500L

        /** A process that is killed loses at most the counts of this time. */
        const val PUBLISH_EVERY_MS = 2_000L

        /** After a drill, the processes publish their counts again within this time, at moments of their own. */
        const val PUBLISH_AGAIN_MS = 1_000L
        const val FULL_SPREAD_PERCENT = 100

        /** Time between two reads of the windows that are due: a tenth of the time within which a report is due. */
        const val REPORT_EVERY_MS = 1_000L

        /** Processes that watch the lease in each step: one more than is needed to replace one lost VM. */
        const val CANDIDATES = 2
        const val MIN_PAUSE_MS = 100L

        /** Smallest number of past windows that may still be due, however long a window is. */
        const val MIN_LOOK_BACK_WINDOWS = 3L

        /** After a drill, the rows of this many windows may be those of a part of the processes. */
        const val WINDOWS_AFTER_DRILL = 2L

        /** Windows that are kept in addition to those that may still be due. */
        const val KEPT_WINDOWS = 5L

        /** Greatest advance of the shared clock on an agreement that is not taken for a suspension. */
        const val LONGEST_PAUSE_MS = 300L

        /** Timeout of the slowest outward call, the delivery of a report. */
        const val LONGEST_CALL_MS = 800L

        /**
         * Half of the platform's bound, so that the successor of a lost holder reports the remaining windows before
         * they are late. The loss of two holders one after the other still takes longer than the bound.
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

package org.medlarhook.serving.duty.simulation

import org.medlarhook.core.serving.limit.ProcessShare
import org.medlarhook.core.serving.usage.UsageWindows
import org.medlarhook.core.serving.usage.WindowCounts
import org.medlarhook.serving.duty.RequestUsage
import org.medlarhook.serving.duty.UsageReporter

/** One process: counts requests, and runs the usage reporter of the production code in simulated time. */
internal class SimProcess(
    private val simulation: UsageReporterSimulation,
    val vm: SimVm,
) : RequestUsage {
    val name = "${vm.name}#${vm.wallMs()}"
    private val world = simulation.world
    private val calls = SimCalls(simulation, this)
    private val reporter =
        UsageReporter(
            process = name,
            requests = this,
            tables = SimTables(calls, simulation.store),
            clock = SimStoreClock(calls, simulation.store),
            reporting = SimReporting(calls),
            bounds = UsageReporterSimulation.BOUNDS,
            time = vm,
            era = calls,
        )
    private var usage = UsageWindows(UsageReporterSimulation.BOUNDS.usageWindowMs)
    private var countedUpToMs = world.nowMs
    private var terminateAtMs: Long? = null
    private var endAtMs = Long.MAX_VALUE
    private lateinit var thread: SimThread

    var isEnded = false
        private set

    fun start() {
        vm.process = this
        world.start {
            thread = it
            pauseFor(world.random.nextLong(START_MS))
            calls.followEra()
            while (world.nowMs < endAtMs) step()
            simulation.trace { "$name publishes its last counts" }
            reporter.finish(vm.monotonicMs())
            countRequests()
            isEnded = true
        }
    }

    private fun step() {
        val begunAtMs = vm.monotonicMs()
        reporter.step()
        if (isEnded) throw SimEndedException()
        terminateAtMs?.let {
            terminateAtMs = null
            simulation.trace { "$name releases the lease" }
            reporter.releaseLease()
        }
        pauseFor(reporter.pauseMs(begunAtMs))
    }

    /** Releases the lease after the present step, and ends [endsAfterMs] later. */
    fun terminate(endsAfterMs: Long) {
        terminateAtMs = world.nowMs
        endAtMs = minOf(endAtMs, world.nowMs + endsAfterMs)
    }

    fun kill() {
        countRequests()
        isEnded = true
    }

    /** Called by the process: waits for [delayMs] on its monotonic clock, and longer while it is suspended. */
    fun pauseFor(delayMs: Long) {
        val wakesAtMs = vm.monotonicMs() + delayMs
        do {
            awaitRunning()
            thread.pauseUntil(world.nowMs + (wakesAtMs - vm.monotonicMs()).coerceAtLeast(0))
            awaitRunning()
        } while (vm.monotonicMs() < wakesAtMs)
    }

    fun awaitRunning() {
        while (vm.isSuspended && !isEnded) thread.pauseUntil(vm.resumesAtMs)
        if (isEnded) throw SimEndedException()
    }

    override fun read(): UsageWindows {
        countRequests()
        return usage
    }

    override fun update(change: (UsageWindows) -> UsageWindows) {
        countRequests()
        usage = change(usage)
    }

    override fun peerAddress(): String? = null

    override fun onProcessesRead(counts: WindowCounts, share: ProcessShare?) = Unit

    /** Counts the requests that have begun since the last call, one each [REQUEST_EVERY_MS]. */
    fun countRequests() {
        if (isEnded || vm.isSuspended) return
        val monotonicMinusTrueMs = vm.monotonicMs() - world.nowMs
        while (countedUpToMs + REQUEST_EVERY_MS <= world.nowMs) {
            countedUpToMs += REQUEST_EVERY_MS
            usage = usage.counted(WORKSPACE, countedUpToMs + monotonicMinusTrueMs)
            simulation.trueCounts.merge(trueWindow(countedUpToMs), 1L, Long::plus)
        }
    }

    /** No request begins while the machine is suspended. */
    fun skipRequests() {
        countedUpToMs = world.nowMs
    }

    private fun trueWindow(atMs: Long): Long =
        Math.floorDiv(SimVm.TRUE_START_MS + atMs, UsageReporterSimulation.BOUNDS.usageWindowMs)

    companion object {
        const val WORKSPACE = "w"
        private const val START_MS = 2_500L
        private const val REQUEST_EVERY_MS = 180L
    }
}

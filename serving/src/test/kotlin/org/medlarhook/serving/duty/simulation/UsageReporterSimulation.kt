package org.medlarhook.serving.duty.simulation

import org.medlarhook.serving.process.ServingBounds
import java.util.concurrent.ExecutorService
import kotlin.math.abs
import kotlin.random.Random

/** Runs several usage reporters of the production code under one schedule, in simulated time. */
internal class UsageReporterSimulation(
    private val schedule: UsageSchedule,
    executor: ExecutorService,
    private val onTrace: ((String) -> Unit)? = null,
) {
    val world = SimWorld(Random(schedule.seed), executor)
    val store = SimStore(world, schedule.firstEra)
    val platform = SimPlatform(world)
    val trueCounts = HashMap<Long, Long>()
    var lastReporter: SimVm? = null
    private val vms = schedule.countsSuspension.mapIndexedTo(ArrayList()) { index, counts -> newVm(index, counts) }
    private val armed = ArrayList<PlannedFault>()

    fun run(): SimResult {
        vms.forEach { startProcess(it, world.random.nextLong(FIRST_START_MS)) }
        schedule.faults.forEach { planned ->
            world.at(planned.atMs) { if (planned.moment == null) begin(planned.fault) else armed += planned }
        }
        world.runUntil(END_MS)
        world.close()
        return SimResult(platform.reports, trueCounts)
    }

    fun trace(line: () -> String) {
        onTrace?.invoke("%6d ms %s".format(world.nowMs, line()))
    }

    /** Begins the faults that wait for [moment]. */
    fun reached(moment: CallMoment) {
        val due = armed.filter { it.moment == moment }
        armed -= due.toSet()
        due.forEach {
            trace { "$moment" }
            begin(it.fault)
        }
    }

    private fun begin(fault: SimFault) {
        trace { "$fault (last reporter ${lastReporter?.name})" }
        when (fault) {
            is SimFault.Drill -> store.drill(fault.copyAgeMs, fault.awayMs, fault.clock)
            is SimFault.StoreImpaired -> {
                store.impair(fault.kind, fault.durationMs, fault.vm?.let { vms[it] })
                platform.excuseFor(fault.durationMs)
            }
            is SimFault.PlatformImpaired -> platform.impair(fault.kind, fault.durationMs)
            is SimFault.Suspend -> vm(fault.vm).suspend(fault.durationMs)
            is SimFault.Cut -> vm(fault.vm).cut(fault.durationMs, fault.direction, fault.isPlatformCut)
            is SimFault.LosePackets -> vm(fault.vm).losePackets(fault.durationMs)
            is SimFault.Kill -> kill(vm(fault.vm), fault.restartAfterMs)
            is SimFault.KillAll -> vms.forEach {
                kill(
                    it,
                    fault.restartAfterMs + world.random.nextLong(RESTART_SPREAD_MS),
                )
            }
            is SimFault.Terminate -> terminate(vm(fault.vm), fault)
            is SimFault.ClockStep -> vm(fault.vm).stepWall(fault.byMs)
            is SimFault.AddVm -> startProcess(newVm(vms.size, world.random.nextBoolean()).also { vms += it }, 0)
        }
    }

    private fun kill(vm: SimVm, restartAfterMs: Long) {
        vm.process?.kill()
        startProcess(vm, restartAfterMs)
    }

    private fun terminate(vm: SimVm, fault: SimFault.Terminate) {
        vm.process?.terminate(fault.endsAfterMs)
        startProcess(vm, fault.endsAfterMs + fault.restartAfterMs)
    }

    private fun startProcess(vm: SimVm, inMs: Long) {
        world.after(inMs) {
            if (vm.isSuspended) {
                startProcess(vm, vm.resumesAtMs - world.nowMs)
            } else {
                vm.process?.kill()
                SimProcess(this, vm).also { trace { "${it.name} starts" } }.start()
            }
        }
    }

    private fun newVm(index: Int, countsSuspension: Boolean) = SimVm("vm-$index", world, countsSuspension)

    private fun vm(index: Int?): SimVm = index?.let { vms[it] } ?: lastReporter ?: vms.first()

    companion object {
        const val END_MS = 80_000L
        private const val FIRST_START_MS = 2_000L
        private const val RESTART_SPREAD_MS = 2_000L

        /** The bounds of the users' pages. */
        val BOUNDS =
            ServingBounds(
                keyTrustMs = 4_000,
                repeatRatio = 0.2,
                repeatSlack = 58.0,
                repeatWindowMs = 10_000,
                usageWindowMs = 5_000,
                usageLateMs = 10_000,
                leaseMs = OneRules.LEASE_MS,
                shutdownMs = 8_000,
            )
    }
}

/** What the platform has got, and the true number of requests by window. */
internal class SimResult(
    val reports: List<SimReport>,
    private val trueCounts: Map<Long, Long>,
) {
    val violations: List<String> = OneRules(reports).violations()

    /** Windows that are due before the end, with requests in all of their time. */
    private val dueWindows: List<Long> = trueCounts.keys.sorted().drop(1).dropLast(WINDOWS_NOT_DUE)
    private val reported = reports.groupBy { it.window }
    val due: Int = dueWindows.size
    val sent: Int = dueWindows.count { it in reported }
    val right: Int = dueWindows.count { window -> reported[window].orEmpty().any { isRight(it) } }

    private fun isRight(report: SimReport): Boolean {
        val truth = trueCounts.getValue(report.window)
        return abs((report.counts[SimProcess.WORKSPACE] ?: 0) - truth) * ONE_TWENTIETH <= truth
    }

    private companion object {
        const val WINDOWS_NOT_DUE = 4
        const val ONE_TWENTIETH = 20
    }
}

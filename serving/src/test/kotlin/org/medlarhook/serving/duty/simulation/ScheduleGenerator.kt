package org.medlarhook.serving.duty.simulation

import kotlin.random.Random
import kotlin.random.nextLong

/** Draws schedules. Faults come in groups, because the orders of events that matter need several close together. */
internal class ScheduleGenerator(
    private val seed: Long,
) {
    private val random = Random(seed)
    private val vms = random.nextInt(2, 5)

    fun draw(): UsageSchedule {
        val clocks = random.nextInt(CLOCK_KINDS)
        return UsageSchedule(
            seed = seed,
            countsSuspension = List(vms) { if (clocks == 0) random.nextBoolean() else clocks == 1 },
            firstEra = random.nextLong(2),
            faults = List(random.nextInt(1, 4)) { group() }.flatten().sortedBy { it.atMs },
        )
    }

    private fun group(): List<PlannedFault> {
        val atMs = between(FIRST_FAULT_MS..LAST_FAULT_MS)
        return List(random.nextInt(1, 4)) {
            val moment = CallMoment(MOMENTS.random(random), CallPhase.entries.random(random))
            PlannedFault(atMs + between(0L..GROUP_MS), fault(), moment.takeIf { random.nextInt(3) == 0 })
        }
    }

    private fun fault(): SimFault =
        when (random.nextInt(FAULT_WEIGHTS)) {
            0, 1, 2 -> drill()
            3, 4 -> SimFault.Suspend(vm(), between(200L..9_000L))
            5 -> SimFault.Kill(vm(), between(300L..8_000L))
            6 -> SimFault.KillAll(between(300L..4_000L))
            7 -> SimFault.Terminate(vm(), between(3_500L..8_000L), between(300L..2_000L))
            8 -> SimFault.Cut(vm(), between(300L..9_000L), CutDirection.entries.random(random), random.nextBoolean())
            9 -> SimFault.ClockStep(vm(), between(-20_000L..20_000L))
            10 -> SimFault.AddVm
            11, 12 -> storeFault()
            13 -> SimFault.LosePackets(vm(), between(500L..8_000L))
            else -> SimFault.PlatformImpaired(PlatformFault.entries.random(random), between(500L..6_000L))
        }

    private fun drill() =
        SimFault.Drill(between(500L..8_000L), between(0L..3_000L), DrilledClock.entries.random(random))

    private fun storeFault(): SimFault {
        val kind = StoreFault.entries.random(random)
        return SimFault.StoreImpaired(kind, between(500L..8_000L), random.nextInt(vms).takeIf { random.nextBoolean() })
    }

    private fun vm(): Int? = random.nextInt(vms).takeIf { random.nextBoolean() }

    private fun between(range: LongRange): Long = random.nextLong(range)

    private companion object {
        const val FIRST_FAULT_MS = 4_000L
        const val LAST_FAULT_MS = 45_000L
        const val GROUP_MS = 6_000L
        const val CLOCK_KINDS = 3
        const val FAULT_WEIGHTS = 15
        val MOMENTS = SimCall.entries + listOf(SimCall.SUM_WRITE, SimCall.REPORT, SimCall.REPORT, SimCall.LEASE_WRITE)
    }
}

package org.medlarhook.serving.duty

import org.medlarhook.serving.duty.simulation.CallMoment
import org.medlarhook.serving.duty.simulation.CallPhase
import org.medlarhook.serving.duty.simulation.DrilledClock
import org.medlarhook.serving.duty.simulation.PlannedFault
import org.medlarhook.serving.duty.simulation.SimCall
import org.medlarhook.serving.duty.simulation.SimFault
import org.medlarhook.serving.duty.simulation.Simulations
import org.medlarhook.serving.duty.simulation.StoreFault
import org.medlarhook.serving.duty.simulation.UsageSchedule
import kotlin.test.Test
import kotlin.test.assertTrue

/** Orders of events in which a window was reported with two counts, each with many latencies of the calls. */
class UsageReporterScheduleTest {
    private val simulations = Simulations()

    @Test
    fun `Given a drill that sets the clock back and all processes killed, then no window is summed up again`() =
        assertOneCount(
            PlannedFault(11_947, SimFault.Drill(4_723, awayMs = 1_318, clock = DrilledClock.BACK)),
            PlannedFault(12_257, SimFault.KillAll(1_024)),
        )

    @Test
    fun `Given all processes killed before a drill that sets the clock back, then no window is summed up again`() =
        assertOneCount(
            PlannedFault(37_333, SimFault.KillAll(2_888)),
            PlannedFault(38_517, SimFault.Drill(7_629, awayMs = 1_792, clock = DrilledClock.BACK)),
        )

    @Test
    fun `Given a drill during the recovery from another one and all killed, then no window is summed up again`() =
        assertOneCount(
            PlannedFault(21_766, SimFault.Drill(2_838, awayMs = 2_084, clock = DrilledClock.STOPPED)),
            PlannedFault(
                22_422,
                SimFault.Drill(5_903, awayMs = 1_961, clock = DrilledClock.BACK),
                CallMoment(SimCall.ERA_WRITE, CallPhase.PERFORMED),
            ),
            PlannedFault(26_503, SimFault.KillAll(2_331), CallMoment(SimCall.COUNT_WRITE, CallPhase.PERFORMED)),
        )

    @Test
    fun `Given a copy with an offset from before the clock went back, then no window is summed up again`() =
        assertOneCount(
            PlannedFault(24_220, SimFault.Drill(6_005, awayMs = 2_167, clock = DrilledClock.BACK)),
            PlannedFault(27_754, SimFault.Terminate(null, endsAfterMs = 4_312, restartAfterMs = 1_483)),
            PlannedFault(32_709, SimFault.Drill(6_177, awayMs = 2_804)),
            PlannedFault(35_004, SimFault.Suspend(null, 7_572)),
        )

    @Test
    fun `Given a reporter suspended over a drill that sets the clock back, then no window is summed up again`() =
        assertOneCount(
            PlannedFault(11_691, SimFault.Kill(null, 2_831), CallMoment(SimCall.REPORT, CallPhase.LEAVING)),
            PlannedFault(15_283, SimFault.Drill(6_445, awayMs = 1_404, clock = DrilledClock.BACK)),
            PlannedFault(15_878, SimFault.Suspend(null, 6_141)),
            PlannedFault(16_759, SimFault.StoreImpaired(StoreFault.SLOW, 4_138, vm = 0)),
        )

    @Test
    fun `Given a first sum that the store writes only after a drill, then the second one stays in force`() {
        val reported = CallMoment(SimCall.REPORT, CallPhase.PERFORMED)
        assertOneCount(
            PlannedFault(17_000, SimFault.Cut(0, 8_300)),
            PlannedFault(
                24_000,
                SimFault.StoreImpaired(StoreFault.PERFORMS_LATE, 100),
                CallMoment(SimCall.SUM_WRITE, CallPhase.LEAVING),
            ),
            PlannedFault(24_500, SimFault.Drill(500), reported),
            PlannedFault(24_500, SimFault.Kill(null, 20_000), reported),
        )
    }

    private fun assertOneCount(vararg faults: PlannedFault) {
        (1L..SEEDS).forEach { seed ->
            val schedule =
                UsageSchedule(
                    seed,
                    countsSuspension = List(VMS) { seed % 2 == 0L },
                    firstEra = 1,
                    faults = faults.toList(),
                )
            val violations = simulations.run(schedule).violations
            assertTrue(violations.isEmpty(), violations.firstOrNull()?.let { simulations.describe(schedule) })
        }
    }

    private companion object {
        const val SEEDS = 150L
        const val VMS = 3
    }
}

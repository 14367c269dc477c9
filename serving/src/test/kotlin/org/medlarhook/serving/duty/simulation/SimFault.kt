package org.medlarhook.serving.duty.simulation

/** A disturbance. Machines are named by their index; null is the machine that has reported or tried to last. */
internal sealed interface SimFault {
    data class Drill(
        val copyAgeMs: Long,
        val awayMs: Long = 0,
        val clock: DrilledClock = DrilledClock.STEADY,
    ) : SimFault

    data class StoreImpaired(
        val kind: StoreFault,
        val durationMs: Long,
        val vm: Int? = null,
    ) : SimFault

    data class PlatformImpaired(
        val kind: PlatformFault,
        val durationMs: Long,
    ) : SimFault

    data class Suspend(
        val vm: Int?,
        val durationMs: Long,
    ) : SimFault

    data class Cut(
        val vm: Int?,
        val durationMs: Long,
        val direction: CutDirection = CutDirection.BOTH,
        val isPlatformCut: Boolean = false,
    ) : SimFault

    data class LosePackets(
        val vm: Int?,
        val durationMs: Long,
    ) : SimFault

    data class Kill(
        val vm: Int?,
        val restartAfterMs: Long,
    ) : SimFault

    data class KillAll(
        val restartAfterMs: Long,
    ) : SimFault

    data class Terminate(
        val vm: Int?,
        val endsAfterMs: Long,
        val restartAfterMs: Long,
    ) : SimFault

    data class ClockStep(
        val vm: Int?,
        val byMs: Long,
    ) : SimFault

    /** A further machine starts. */
    data object AddVm : SimFault
}

/** A kind of outward call of the reporter. */
internal enum class SimCall { CLOCK_READ, READ, COUNT_WRITE, LEASE_WRITE, OFFSET_WRITE, ERA_WRITE, SUM_WRITE, REPORT }

internal enum class CallPhase {
    /** The process has decided on the call, which has not left the machine. */
    LEAVING,

    /** The call has taken effect, and its answer has not arrived. */
    PERFORMED,
}

/** The next call of a kind, and the point in it at which something happens. */
internal data class CallMoment(
    val call: SimCall,
    val phase: CallPhase,
)

/** [fault] at [atMs], or, if [moment] is given, at the first such moment after it. */
internal data class PlannedFault(
    val atMs: Long,
    val fault: SimFault,
    val moment: CallMoment? = null,
)

/**
 * What happens in one simulation.
 *
 * @property seed decides on the latencies of calls and whatever else is drawn.
 * @property countsSuspension by machine, whether its monotonic clock goes on while it is suspended.
 * @property firstEra the era of the store at the beginning, 0 if it names none before a drill.
 */
internal data class UsageSchedule(
    val seed: Long,
    val countsSuspension: List<Boolean>,
    val firstEra: Long,
    val faults: List<PlannedFault>,
)

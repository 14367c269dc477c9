package org.medlarhook.core.control

/** What a step does. Each simulation uses the kinds that apply to it. */
internal enum class StepKind {
    ELAPSE,
    PAUSE,
    RESUME,
    KILL,
    RELEASE_LEASE,
    CUT_OFF,
    OUTAGE,
    HEAL,
    DELIVER_DELAYED,
    LEASE_STEP,
    ISSUE,
    APPLY_STEP,
    HINT,
    KILL_SIDECAR,
    REPLACE_VM,
    OPEN_INTENT,
    FINISH_INTENT,
    SERVE,
    COLLECT,
    OFFER,
    FREEZE,
    SEND,
}

/** The fault of the next write, engine call or platform call of a step. */
internal enum class CallFault {
    NONE,
    ANSWER_LOST,
    REQUEST_LOST,
    LATE,
    PAUSED_BEFORE,
    REFUSED,
}

/**
 * One step of a chain.
 *
 * @property target selects an entry or sidecar, modulo their number.
 * @property arg parameter of the step, such as a duration or an index, whose meaning depends on [kind].
 * @property fault fault of the next call in the step.
 */
internal data class Step(
    val kind: StepKind,
    val target: Int,
    val arg: Int,
    val fault: CallFault,
)

/** A violated invariant that the oracle of a simulation found. */
internal class OracleViolation(
    message: String,
) : AssertionError(message)

internal fun oracle(holds: Boolean, message: () -> String) {
    if (!holds) throw OracleViolation(message())
}

package org.medlarhook.core.control

/** What a step does. Each world picks the ones that it knows. */
internal enum class Op {
    ELAPSE,
    PAUSE,
    RESUME,
    KILL,
    HAND_BACK,
    CUT_OFF,
    OUTAGE,
    HEAL,
    DELIVER_LATE,
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

/** What happens to the next write, engine call or platform call of a step. */
internal enum class Mishap {
    NONE,
    ANSWER_LOST,
    REQUEST_LOST,
    LATE,
    PAUSED_BEFORE,
    REFUSED,
}

/** One step: [who] and [arg] are taken modulo what the world has. */
internal data class Step(
    val op: Op,
    val who: Int,
    val arg: Int,
    val mishap: Mishap,
)

/** What a chain found wrong. */
internal class OracleViolation(
    message: String,
) : AssertionError(message)

internal fun oracle(holds: Boolean, message: () -> String) {
    if (!holds) throw OracleViolation(message())
}

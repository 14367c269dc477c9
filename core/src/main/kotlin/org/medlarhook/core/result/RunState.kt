package org.medlarhook.core.result

/** Says whether the work behind an answer was run. A [NOT_RUN] is a promise, never a guess. */
public enum class RunState {
    RUN,
    NOT_RUN,
    UNKNOWN,
}

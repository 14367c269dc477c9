package org.medlarhook.core.result

/** Whether the work of a request was run. [NOT_RUN] is reported only if it is certain that the work never runs. */
public enum class RunState {
    RUN,
    NOT_RUN,
    UNKNOWN,
}

package org.medlarhook.core.routing

/** The part of a generation that an attempt asks for. */
public enum class WorkPhase {
    WHOLE,
    PREFILL,
    DECODE,
}

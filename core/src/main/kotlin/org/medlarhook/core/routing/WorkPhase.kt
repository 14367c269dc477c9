package org.medlarhook.core.routing

/** The part of a generation that an attempt requests: the whole, or only its prefill or decode phase. */
public enum class WorkPhase {
    WHOLE,
    PREFILL,
    DECODE,
}

package org.medlarhook.core.role

/** The kind of work that an upstream takes. */
public enum class UpstreamRole {
    /** All phases of a generation. */
    MIXED,

    /** Prompts with short answers, and prefill for a hand-over. */
    PREFILL,

    /** Long answers, and decoding after a hand-over. */
    DECODE,

    /** Calls of plain services. */
    SERVICE,
}

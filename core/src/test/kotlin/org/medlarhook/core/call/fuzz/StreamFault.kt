package org.medlarhook.core.call.fuzz

/** A check that is switched off to show that the oracle notices. */
internal enum class StreamFault {
    NONE,
    IGNORES_ATTEMPT_IDS,
    IGNORES_TOKEN_INDEXES,
    RESUMES_AT_THE_START,
    TAKES_A_BREAK_FOR_THE_END,
}

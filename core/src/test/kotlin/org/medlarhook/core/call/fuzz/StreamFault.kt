package org.medlarhook.core.call.fuzz

/** A fault that is injected to check that the oracle detects it. */
internal enum class StreamFault {
    NONE,
    IGNORES_ATTEMPT_IDS,
    IGNORES_TOKEN_INDEXES,
    RESUMES_AT_FIRST_TOKEN,
    TREATS_LOST_CONNECTION_AS_END,
}

package org.medlarhook.core.call.fuzz

/** A fault that is injected to check that the oracle detects it. */
internal enum class BookingFault {
    NONE,
    SENDS_BEFORE_CLAIM_IS_WRITTEN,
    REPLACES_CLAIM_WITHOUT_SEAL,
    IGNORES_INCARNATIONS,
    WRITES_UNCONDITIONALLY,
    REPORTS_LOST_CALL_AS_NOT_SENT,
    LOSES_SEALS,
}

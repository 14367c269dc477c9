package org.medlarhook.core.call.fuzz

/** A mechanism that is switched off to show that the oracle notices. */
internal enum class BookingFault {
    NONE,
    SENDS_BEFORE_THE_CLAIM_STANDS,
    TAKES_OVER_WITHOUT_SEAL,
    IGNORES_INCARNATIONS,
    WRITES_UNCONDITIONALLY,
    TAKES_LOST_FOR_NOT_SENT,
    FORGETS_SEALS,
}

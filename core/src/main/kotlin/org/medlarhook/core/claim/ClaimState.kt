package org.medlarhook.core.claim

/** The states of a claim. */
public enum class ClaimState {
    /** Its attempt may be running. */
    CLAIMED,

    /** Its attempt has finished, and the answer is recorded. */
    DONE,

    /** Its attempt did not run and never will. */
    RELEASED,
}

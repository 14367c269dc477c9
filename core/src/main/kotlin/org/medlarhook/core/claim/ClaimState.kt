package org.medlarhook.core.claim

/** The states of a claim. */
public enum class ClaimState {
    /** The attempt of the claim may be running. */
    CLAIMED,

    /** The attempt has finished, and its answer is recorded. */
    DONE,

    /** The attempt has not run and never will; another request may replace the claim. */
    RELEASED,
}

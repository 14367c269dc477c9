package org.medlarhook.core.directory

/** Decides whether an entry may serve routes that need a key. Open streams are checked by the same rule. */
public fun interface AuthorityPolicy {
    /** Decides for [state] at [nowMs]. */
    public fun decide(state: ReplicaState, nowMs: Long): AuthorityDecision
}

package org.medlarhook.core.directory

/** Decides whether an entry may serve routes that need a key. The same rule applies to streams already open. */
public fun interface AuthorityPolicy {
    /** Returns the decision for the replica [state] at [nowMs] on the monotonic clock. */
    public fun decide(state: ReplicaState, nowMs: Long): AuthorityDecision
}

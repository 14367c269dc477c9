package org.medlarhook.core.directory

import arrow.core.Either

/** Decides whether an entry may write the directory now, and notes the write in its state. */
public fun interface WritePermit {
    /** Returns [state] with a write opened; it stays open until [ReplicaEvent.WriteSettled]. */
    public fun open(state: ReplicaState, nowMs: Long): Either<WriteRefusal, ReplicaState>
}

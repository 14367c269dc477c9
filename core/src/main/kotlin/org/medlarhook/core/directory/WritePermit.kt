package org.medlarhook.core.directory

import arrow.core.Either

/** Decides whether an entry may write the directory now, and records the write in its state. */
public fun interface WritePermit {
    /** Returns [state] with one more open write, or why none is permitted. [ReplicaEvent.WriteSettled] closes it. */
    public fun open(state: ReplicaState, nowMs: Long): Either<WriteRefusal, ReplicaState>
}

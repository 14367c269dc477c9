package org.medlarhook.ports

import arrow.core.Either

/** The platform's rate-limited store of model weights. */
public interface WeightStore {
    /** Asks for a transfer slot for [bytes] of [model]; the answer says how long the transfer takes, in milliseconds. */
    public fun reserve(model: String, version: String, bytes: Long): Either<TableFailure, Long>
}

package org.medlarhook.ports

import arrow.core.Either

/** The platform's rate-limited store of model weights. */
public interface WeightStore {
    /** Reserves a transfer slot for [bytes] of [model]; returns the duration of the transfer in milliseconds. */
    public fun reserve(model: String, version: String, bytes: Long): Either<TableFailure, Long>
}

package org.medlarhook.core.call

import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

private val RETRYABLE_IF_NOT_RUN =
    setOf(
        ResultCode.DRAINING,
        ResultCode.NO_UPSTREAM,
        ResultCode.QUEUE_FULL,
        ResultCode.WRONG_INCARNATION,
        ResultCode.ATTEMPT_SEALED,
        ResultCode.UPSTREAM_FAILED,
    )

private val RETRYABLE_IF_IDEMPOTENT =
    RETRYABLE_IF_NOT_RUN + setOf(ResultCode.DUPLICATE_ATTEMPT, ResultCode.OUTCOME_UNKNOWN)

/** True if another upstream may succeed, and the attempt was not run. */
internal fun Failure.isRetryableAsNotRun(): Boolean = runState == RunState.NOT_RUN && code in RETRYABLE_IF_NOT_RUN

/** True if another upstream may succeed, for requests that may run twice. */
internal fun Failure.isRetryableIfIdempotent(): Boolean = code in RETRYABLE_IF_IDEMPOTENT

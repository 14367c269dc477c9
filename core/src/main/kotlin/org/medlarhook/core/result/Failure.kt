package org.medlarhook.core.result

/**
 * Why a call was not answered as asked.
 *
 * @property code the numbered result.
 * @property runState whether the work was run.
 * @property detail one sentence for people, without secrets.
 * @property retryAfterMs when coming back makes sense, or null.
 */
public data class Failure(
    val code: ResultCode,
    val runState: RunState,
    val detail: String = code.title,
    val retryAfterMs: Long? = null,
)

package org.medlarhook.core.result

/**
 * Why a request was refused or failed.
 *
 * @property code numbered result.
 * @property runState whether the work of the request was run.
 * @property detail one sentence for callers and operators, without secrets.
 * @property retryAfterMs time after which a retry may succeed, or null if none is advised.
 */
public data class Failure(
    val code: ResultCode,
    val runState: RunState,
    val detail: String = code.title,
    val retryAfterMs: Long? = null,
)

package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/**
 * What an amount is summed up by.
 *
 * @property windowStartMs the window that reports it.
 * @property correctionOfWindowStartMs the window in which it was used, if that was frozen before it came.
 */
@Serializable
public data class UsageKey(
    val windowStartMs: Long,
    val workspace: String,
    val resource: String,
    val correctionOfWindowStartMs: Long? = null,
)

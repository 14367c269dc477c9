package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/**
 * The key by which amounts of usage are summed up.
 *
 * @property windowStartMs start of the window that reports the amount.
 * @property correctionOfWindowStartMs start of the window of the usage, if that was frozen before the receipt arrived.
 */
@Serializable
public data class UsageKey(
    val windowStartMs: Long,
    val workspace: String,
    val resource: String,
    val correctionOfWindowStartMs: Long? = null,
)

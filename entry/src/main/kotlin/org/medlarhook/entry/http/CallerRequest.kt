package org.medlarhook.entry.http

/**
 * A request as it came, before anything is checked but its size.
 *
 * @property presentedKey the bearer key, or null.
 */
internal class CallerRequest(
    val exchange: Exchange,
    val receivedAtMs: Long,
    val presentedKey: String?,
    val deadlineHeader: String?,
)

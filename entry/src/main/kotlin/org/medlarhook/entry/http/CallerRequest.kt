package org.medlarhook.entry.http

/**
 * A request as received, with nothing checked yet but the size of its headers.
 *
 * @property receivedAtMs when the request was received, on the monotonic clock.
 * @property presentedKey the bearer key, or null.
 * @property deadlineHeader the unparsed deadline header, or null.
 */
internal class CallerRequest(
    val exchange: Exchange,
    val receivedAtMs: Long,
    val presentedKey: String?,
    val deadlineHeader: String?,
)

package org.medlarhook.entry.call

import org.medlarhook.core.directory.Workspace

/**
 * What is known of a caller's request before it is sent.
 *
 * @property workspace null on a route that is open to all.
 * @property presentedKey the key, checked again while the request is open; never passed on or logged.
 */
internal class RequestInfo(
    val requestId: String,
    val workspace: Workspace?,
    val presentedKey: String?,
    val startedAtMs: Long,
    val deadlineAtMs: Long,
)

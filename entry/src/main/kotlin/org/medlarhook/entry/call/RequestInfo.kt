package org.medlarhook.entry.call

import org.medlarhook.core.directory.Workspace

/**
 * The parts of a caller's request that generations and service calls have in common.
 *
 * @property workspace null on a route that needs no key.
 * @property presentedKey the caller's key, or null; checked again while the request is open, never forwarded or logged.
 */
internal class RequestInfo(
    val requestId: String,
    val workspace: Workspace?,
    val presentedKey: String?,
    val startedAtMs: Long,
    val deadlineAtMs: Long,
)

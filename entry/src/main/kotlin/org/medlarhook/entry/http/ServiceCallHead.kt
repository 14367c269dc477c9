package org.medlarhook.entry.http

import org.medlarhook.core.call.CallHeader

/** What a caller sends ahead of the body of a service call. */
internal class ServiceCallHead(
    val method: String,
    val requestUri: String,
    val query: String?,
    val headers: List<CallHeader>,
    val idempotencyKey: String?,
)

package org.medlarhook.entry.http

import org.medlarhook.core.call.CallHeader

/** The method, path, query and headers of a call of a plain service. */
internal class ServiceCallHead(
    val method: String,
    val requestUri: String,
    val query: String?,
    val headers: List<CallHeader>,
    val idempotencyKey: String?,
)

package org.medlarhook.entry.http

/** Names of headers. The sets and the prefix are in lower case. */
internal object HeaderNames {
    const val REQUEST_ID = "X-Request-Id"
    const val DEADLINE = "X-Deadline-Ms"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val IDEMPOTENCY_REPLAYED = "Idempotency-Replayed"

    /** The prefix of the headers that the processes of this system send to each other. */
    const val INTERNAL_PREFIX = "x-medlarhook-"

    /** Hop-by-hop headers, which apply to one connection only. */
    val HOP_BY_HOP =
        setOf(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        )

    /** Request headers that the entry processes itself and does not forward to upstreams. */
    val NOT_SENT_UPSTREAM =
        setOf("host", "content-length", "expect", "forwarded", "via", "x-request-id", "x-deadline-ms", "x-real-ip")

    /** Response headers of upstreams that are not forwarded to callers. */
    val NOT_SENT_TO_CALLER = setOf("content-length", "set-cookie", "server", "date", "x-request-id")
}

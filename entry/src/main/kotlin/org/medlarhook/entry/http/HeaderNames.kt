package org.medlarhook.entry.http

/** Names of headers, in lower case. */
internal object HeaderNames {
    const val REQUEST_ID = "X-Request-Id"
    const val DEADLINE = "X-Deadline-Ms"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val IDEMPOTENCY_REPLAYED = "Idempotency-Replayed"

    /** What all headers between the system's own processes start with. */
    const val OWN_PREFIX = "x-medlarhook-"

    /** Headers that concern one connection only. */
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

    /** Headers of a request that the entry deals with itself. */
    val ENDS_AT_THE_ENTRY =
        setOf("host", "content-length", "expect", "forwarded", "via", "x-request-id", "x-deadline-ms", "x-real-ip")

    /** Headers of an answer that do not pass outward. */
    val STAYS_INSIDE = setOf("content-length", "set-cookie", "server", "date", "x-request-id")
}

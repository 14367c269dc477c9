package org.medlarhook.core.serving.refuse

/**
 * Decides whether a request waits in this process while all upstreams that could serve it are closed.
 *
 * Designed for upstreams that are closed for seconds: a request whose time ends sooner is refused at once, and the
 * requests that wait for the same upstream are sent spread over some time after it opens.
 */
public object ReopeningWait {
    /** Less time than this is not enough for an answer. */
    private const val MIN_ANSWER_MS = 50L

    /** Some answers of a plain service, and a small part of a usual deadline. */
    private const val SPREAD_MS = 100L

    /**
     * Returns how long a request with [remainingMs] until its deadline waits for an upstream that opens in [opensInMs],
     * or null if it is refused. [spread] is a random number from 0 to 1.
     */
    public fun waitMs(opensInMs: Long, remainingMs: Long, spread: Double): Long? {
        val slackMs = remainingMs - MIN_ANSWER_MS - opensInMs
        return if (slackMs < 0) null else opensInMs + (minOf(SPREAD_MS, slackMs) * spread).toLong()
    }
}

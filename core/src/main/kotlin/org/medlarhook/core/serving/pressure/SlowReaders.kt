package org.medlarhook.core.serving.pressure

/**
 * Output that was handed to a connection and is not written yet.
 *
 * @property sinceMs when the connection last held nothing.
 */
public data class PendingOutput<out T>(
    val connection: T,
    val bytes: Long,
    val sinceMs: Long,
)

/**
 * Decides which connections are ended because their callers read too slowly.
 *
 * Designed for many callers that ask for large answers and read them slowly, beside callers that read at once: what
 * the slow ones leave unread must not take the room of the others. A connection counts as slow only after
 * [SLOW_AFTER_MS], so that a large answer that was just handed over doesn't end its caller.
 */
public object SlowReaders {
    /** A caller that reads at once takes less for an answer of the greatest size. */
    public const val SLOW_AFTER_MS: Long = 500

    /**
     * Time for which an upstream may be kept waiting by a caller that does not read. Upstreams cut off a response that
     * is left unread for some seconds.
     */
    public const val MAX_PAUSE_MS: Long = 2_000

    /** Returns the slow connections of [held] that must end so that [excessBytes] are released, the largest first. */
    public fun <T> toEnd(held: Collection<PendingOutput<T>>, excessBytes: Long, nowMs: Long): List<PendingOutput<T>> {
        if (excessBytes <= 0) return emptyList()
        val slow = held.filter { nowMs - it.sinceMs >= SLOW_AFTER_MS }.sortedByDescending { it.bytes }
        var releasedBytes = 0L
        return slow.takeWhile { (releasedBytes < excessBytes).also { _ -> releasedBytes += it.bytes } }
    }
}

package org.medlarhook.core.serving.answer

/**
 * The requests that a connection to an upstream has carried, as far as they decide whose answer comes next on it.
 *
 * Designed for faulty upstreams that write an earlier answer once more at the point where the next one is due. Only the
 * attempt id tells the two apart. Requests with the same id, or without one, therefore don't follow each other on one
 * connection, and an answer without an id is taken only as the first on its connection, where no earlier one can come
 * again. A later one is passed over if its stamp shows that it is an earlier one; any other may be the answer that is
 * due, and what follows it a second one. An upstream that returns no id shows this with its first answer, after which
 * the connection carries no more.
 */
public data class ConnectionHistory(
    private val attemptId: String? = null,
    private val recentIdHashes: List<Int> = emptyList(),
    private val requests: Int = 0,
    private val returnsIds: Boolean = true,
    private val recentStampHashes: List<Int> = emptyList(),
) {
    /** True if a request can follow, because its answer can be told from earlier ones. */
    public val canCarryMore: Boolean get() = returnsIds

    /** True if no answer to an earlier request can be taken for that to a request of the attempt with [id]. */
    public fun isDistinct(id: String?): Boolean =
        requests == 0 || (returnsIds && id != null && id.hashCode() !in recentIdHashes)

    /** True if [name] is the id of a request that the connection has lately carried, or the stamp of such an answer. */
    public fun knows(name: String): Boolean = name.hashCode().let { it in recentIdHashes || it in recentStampHashes }

    /** Records that a request of the attempt with [id], or of none, was sent. */
    public fun sent(id: String?): ConnectionHistory =
        copy(
            attemptId = id,
            recentIdHashes = if (id == null) recentIdHashes else recentIdHashes.takeLast(MAX_IDS - 1) + id.hashCode(),
            requests = requests + 1,
        )

    /**
     * True if an answer that returns [returnedId], or no id if null, is that to the latest request. For a request
     * without an id that is not [distinct][isDistinct], this may hold for an earlier answer.
     */
    public fun isAnswerToLatest(returnedId: String?): Boolean =
        if (returnedId == null) requests == 1 || attemptId == null else returnedId == attemptId

    /**
     * True if an answer is recognised as an earlier one of this connection, or as that to another request, by the id
     * that it returns or, if it returns none, by its [stamp]. What is neither this nor
     * [the answer to the latest request][isAnswerToLatest] may be either.
     */
    public fun isKnownExtra(returnedId: String?, stamp: String?): Boolean =
        returnedId != null || (stamp != null && stamp.hashCode() in recentStampHashes)

    /** Records that the latest request was answered with [returnedId] and [stamp]. */
    public fun answered(returnedId: String?, stamp: String?): ConnectionHistory =
        copy(
            returnsIds = returnsIds && (attemptId == null || returnedId != null),
            recentStampHashes =
                if (stamp == null) recentStampHashes else recentStampHashes.takeLast(MAX_IDS - 1) + stamp.hashCode(),
        )

    private companion object {
        /** Attempts have ids of their own; a caller that uses one again does so soon. */
        const val MAX_IDS = 32
    }
}

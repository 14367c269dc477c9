package org.medlarhook.core.attempt

/** Answers of finished attempts for a later seal, bounded in number and bytes; the oldest are evicted first. */
internal class RetainedAnswers<A>(
    private val maxAnswers: Int,
    private val maxBytes: Long,
) {
    private class Retained<A>(
        val answer: A,
        val bytes: Long,
    )

    private val retainedById = LinkedHashMap<String, Retained<A>>()
    private var retainedBytes = 0L

    /** Returns the answer of [attemptId], or null if it is not retained. */
    operator fun get(attemptId: String): A? = retainedById[attemptId]?.answer

    /** Retains [answer] of [bytes] bytes, unless it alone exceeds the bound, and evicts the oldest answers. */
    fun retain(attemptId: String, answer: A, bytes: Long) {
        if (bytes > maxBytes) return
        retainedById[attemptId] = Retained(answer, bytes)
        retainedBytes += bytes
        while (retainedById.size > maxAnswers || retainedBytes > maxBytes) evict(retainedById.keys.first())
    }

    /** Removes the answer of [attemptId], if it is retained. */
    fun evict(attemptId: String) {
        retainedById.remove(attemptId)?.let { retainedBytes -= it.bytes }
    }
}

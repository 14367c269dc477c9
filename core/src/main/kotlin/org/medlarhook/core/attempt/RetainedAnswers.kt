package org.medlarhook.core.attempt

/** Answers kept for a later question, bounded in number and bytes; the oldest go first. */
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

    /** Keeps [answer] unless it alone is larger than the bound. */
    fun retain(attemptId: String, answer: A, bytes: Long) {
        if (bytes > maxBytes) return
        retainedById[attemptId] = Retained(answer, bytes)
        retainedBytes += bytes
        while (retainedById.size > maxAnswers || retainedBytes > maxBytes) drop(retainedById.keys.first())
    }

    /** Drops the answer of [attemptId], if any. */
    fun drop(attemptId: String) {
        retainedById.remove(attemptId)?.let { retainedBytes -= it.bytes }
    }
}

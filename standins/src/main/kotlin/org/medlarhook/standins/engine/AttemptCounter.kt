package org.medlarhook.standins.engine

/** Counts how often each attempt reached the engine; bounded. Thread-safe. */
internal class SeenAttempts {
    private val countById = LinkedHashMap<String, Int>()

    /** Counts one arrival. */
    @Synchronized
    fun add(attemptId: String) {
        countById.merge(attemptId, 1, Int::plus)
        if (countById.size > MAX_ATTEMPTS) countById.remove(countById.keys.first())
    }

    /** The counts of all attempts held. */
    @Synchronized
    fun counts(): Map<String, Int> = countById.toMap()

    private companion object {
        const val MAX_ATTEMPTS = 20_000
    }
}

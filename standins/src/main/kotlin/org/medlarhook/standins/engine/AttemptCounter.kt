package org.medlarhook.standins.engine

/** Counts how often each attempt reached the engine. Bounded: drops the attempt seen first. Thread-safe. */
internal class AttemptCounter {
    private val countById = LinkedHashMap<String, Int>()

    /** Counts one generation request of [attemptId]. */
    @Synchronized
    fun add(attemptId: String) {
        countById.merge(attemptId, 1, Int::plus)
        if (countById.size > MAX_ATTEMPTS) countById.remove(countById.keys.first())
    }

    /** Returns the counts by attempt id. */
    @Synchronized
    fun counts(): Map<String, Int> = countById.toMap()

    private companion object {
        const val MAX_ATTEMPTS = 20_000
    }
}

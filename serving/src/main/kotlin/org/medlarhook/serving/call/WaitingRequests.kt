package org.medlarhook.serving.call

/** How many requests of each service wait for an upstream to open. Used on the event loop only. */
internal class WaitingRequests {
    private val waiting = HashMap<String, Int>()

    fun of(service: String): Int = waiting[service] ?: 0

    fun began(service: String) {
        waiting.merge(service, 1, Int::plus)
    }

    fun ended(service: String) {
        waiting.computeIfPresent(service) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}

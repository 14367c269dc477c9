package org.medlarhook.core.call.fuzz

/** Holds what a caller has received against the true text of its request. Knows nothing else. */
internal class StreamOracle(
    private val truth: List<String>,
) {
    private val received = ArrayList<String>()
    private var ends = 0
    var isWhole = false
        private set

    fun delivered(texts: List<String>) {
        oracle(ends == 0) { "text after the last word" }
        received += texts
        oracle(received.size <= truth.size && received == truth.take(received.size)) { "not a prefix: $received" }
    }

    fun finished() {
        ended()
        oracle(received == truth) { "the end mark after ${received.size} of ${truth.size} tokens" }
        isWhole = true
    }

    fun failed(isToldNotRun: Boolean) {
        ended()
        oracle(!isToldNotRun || received.isEmpty()) { "told not run after text" }
    }

    private fun ended() {
        ends++
        oracle(ends == 1) { "a second last word" }
    }
}
